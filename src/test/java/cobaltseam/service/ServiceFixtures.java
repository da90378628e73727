package cobaltseam.service;

import cobaltseam.deployment.JsonObjectReader;
import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Builds the configuration, the endpoint events and the statements that tests of the service use.
 */
abstract class ServiceFixtures {
  static final int SOCKETS = 256;
  static final int IDLE_MS = 30_000;
  static final String ROWS = "a\t1\tx\nb\t2\ty\n";

  static String endpointJson(int uid, String engine, String state) {
    return "{\"uid\":\"s-%08x\",\"endpoint\":\"%s\",\"az\":\"z\",\"model\":\"m\",\"state\":\"%s\",\"boot_ms\":0}"
        .formatted(uid, engine, state);
  }

  static String endpointEvent(int offset, boolean all, String... targets) {
    return "{\"offset\":%d,\"topology\":{\"rev\":1,\"all\":%b,\"targets\":[%s]}}"
        .formatted(offset, all, String.join(",", targets));
  }

  static ServiceConfiguration serviceConfiguration(
      String bus, int sockets, int idleMs, String... targets) throws IOException {
    return ServiceConfiguration.of(
        JsonObjectReader.of(
            new JsonFactory().createParser(configurationJson(bus, sockets, idleMs, targets))));
  }

  static String configurationJson(String bus, int sockets, int idleMs, String... targets) {
    return """
                {"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"sockets":%d,"memory_mb":64},"bus":"%s",
                "known":{"offset":7,"batch":[%s]},"settings":{"balancers":1,"position":0,"tick_us":5000,
                "classes":[{"name":"look","aim_us":500000,"hard_limit_us":3000000,"repeat":"read_like","late_value":0.5},
                {"name":"once","aim_us":500000,"hard_limit_us":3000000,"repeat":"non_idempotent","late_value":0.5}],
                "projects":[{"name":"acme","quota_rps":1000}],"machine_types":["m"],"family_info":{"cores_by_kind":[4]},"rules":{"cold_from":0.3},
                "limits":{"most_tries":3,"cancel":true,"retry_after":true,"max_retry_after_us":500000,
                "connect_timeout_us":2000000,"conn_idle_us":%d,"streams_per_conn":32}}}
                """
        .formatted(sockets, bus, endpointEvent(7, true, targets), idleMs * 1000);
  }

  /**
   * A statement with so much work that no attempt times out while a slow machine plays its part.
   */
  static String idempotentStatement(int call, int ttl) {
    return statement("look", call, ttl).replace("work=100", "work=1000");
  }

  static String statement(String profile, int call, int ttl) {
    return "/* op=%s,call=%016x,ttl=%d,work=100 */ SELECT n FROM a_1.t"
        .formatted(profile, call, ttl);
  }

  /** A query message as its bytes on the wire. */
  static byte[] queryMessage(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(bytes.length + 6)
        .put((byte) 'Q')
        .putInt(bytes.length + 5)
        .put(bytes)
        .put((byte) 0)
        .array();
  }

  /** A configuration that lets connections to engines take long to come up. */
  static String withLongConnectTimeout(String configuration) {
    return configuration.replace(
        "\"connect_timeout_us\":2000000", "\"connect_timeout_us\":30000000");
  }
}
