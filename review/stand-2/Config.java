import java.net.InetSocketAddress;

/** The configuration file of a dispatcher, with settings like those of a small deployment. */
final class Config {
  String name = "n0";
  int position;
  int balancers = 1;
  int cores = 8;
  long connectTimeoutUs = 250_000;
  long drainGraceUs = 1_000_000;
  int maxTries = 4;
  long tellsEveryUs;
  int sockets = 1024;
  long deadlineUs = 4_000_000;
  String markedScope = "all";
  String reportFields = "\"pending\",\"busy_reqs\"";
  long onceAimUs = 500_000;
  String extraRules = "";
  String extraLimits = "";

  /** Classes: look may be repeated, marked is known by a mark, once must never run twice. */
  String text(InetSocketAddress listen, InetSocketAddress bus, String known) {
    return """
        {"name":"%s","listen":"%s","seed":"8c1f30d27a5be964",
        "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"bus":"%s","known":%s,
        "settings":{"balancers":%d,"position":%d,"tick_us":5000,
        "classes":[
        {"name":"look","aim_us":500000,"aim_stretch":2.0,"hard_limit_us":%d,"importance":1.0,
         "late_value":0.5,"repeat":"read_like","key_scope":"all","window_us":5000000},
        {"name":"marked","aim_us":500000,"aim_stretch":2.0,"hard_limit_us":%d,"importance":1.0,
         "late_value":0.5,"repeat":"idempotency_key","key_scope":"%s","window_us":5000000},
        {"name":"once","aim_us":%d,"aim_stretch":2.0,"hard_limit_us":%d,"importance":1.0,
         "late_value":0.5,"repeat":"non_idempotent","key_scope":"all","window_us":5000000}],
        "machine_types":["m"],"zones":["z"],"zone":"z",
        "family_info":{"cores_by_kind":[%d],"ram_of_kind_mb":[4096.0],"width_by_class":[1,1,1],
         "out_of_memory":"shrink","ranks_heeded":false,"tells_every_us":%d},
        "limits":{"cancel":true,"conn_idle_us":30000000,"connect_timeout_us":%d,
         "max_retry_after_us":500000,"most_tries":%d,"retry_after":true,
         "streams_per_conn":32%s},
        "load_report":{"fields":[%s],"how":"answers"},
        "projects":[{"name":"acme","portion":1.0,"quota_rps":1000.0}],"over_share_worth":0.05,
        "rules":{"answer_slack_us":0,"cold_from":0.3,"drain_grace_us":%d,"fall_multiple":2.0,
         "overload_for_us":3000000,"warm_within_us":15000000%s}}}
        """
        .formatted(
            name,
            Stand.text(listen),
            sockets,
            Stand.text(bus),
            known,
            balancers,
            position,
            deadlineUs,
            deadlineUs,
            markedScope,
            onceAimUs,
            deadlineUs,
            cores,
            tellsEveryUs,
            connectTimeoutUs,
            maxTries,
            extraLimits,
            reportFields,
            drainGraceUs,
            extraRules);
  }
}
