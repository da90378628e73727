package cobaltseam.service;

import cobaltseam.deployment.JsonObjectReader;
import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Configurations, endpoint events and statements for the tests of the service. */
abstract class ServiceFixtures {
  /** The default limit of file descriptors. */
  static final int SOCKETS = 256;

  /** The default idle timeout of connections to engines. */
  static final int IDLE_MS = 30_000;

  /** A page with two rows of three columns. */
  static final String ROWS = "a\t1\tx\nb\t2\ty\n";

  /** Returns the JSON of one endpoint. */
  static String endpointJson(int uid, String engineAddress, String state) {
    return "{\"uid\":\"s-%08x\",\"endpoint\":\"%s\",\"az\":\"z\",\"model\":\"m\",\"state\":\"%s\",\"boot_ms\":0}"
        .formatted(uid, engineAddress, state);
  }

  /** Returns the JSON of an event of the endpoint list. */
  static String endpointEvent(int offset, boolean isComplete, String... endpoints) {
    return "{\"offset\":%d,\"topology\":{\"rev\":1,\"all\":%b,\"targets\":[%s]}}"
        .formatted(offset, isComplete, String.join(",", endpoints));
  }

  static ServiceConfiguration serviceConfiguration(
      String busAddress, int maxSockets, int idleMs, String... endpoints) throws IOException {
    return ServiceConfiguration.of(
        JsonObjectReader.of(
            new JsonFactory()
                .createParser(configurationJson(busAddress, maxSockets, idleMs, endpoints))));
  }

  static String configurationJson(
      String busAddress, int maxSockets, int idleMs, String... endpoints) {
    return """
                {"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"sockets":%d,"memory_mb":64},"bus":"%s",
                "known":{"offset":7,"batch":[%s]},"settings":{"balancers":1,"position":0,"tick_us":5000,
                "classes":[{"name":"look","aim_us":500000,"hard_limit_us":3000000,"repeat":"read_like","late_value":0.5},
                {"name":"once","aim_us":500000,"hard_limit_us":3000000,"repeat":"non_idempotent","late_value":0.5}],
                "projects":[{"name":"acme","quota_rps":1000}],"machine_types":["m"],"family_info":{"cores_by_kind":[4]},"rules":{"cold_from":0.3},
                "limits":{"most_tries":3,"cancel":true,"retry_after":true,"max_retry_after_us":500000,
                "connect_timeout_us":2000000,"conn_idle_us":%d,"streams_per_conn":32}}}
                """
        .formatted(maxSockets, busAddress, endpointEvent(7, true, endpoints), idleMs * 1000);
  }

  /**
   * Returns a statement of the idempotent class "look", with so much estimated work that no attempt
   * times out even if the test runs slowly.
   */
  static String idempotentStatement(int callNumber, int timeToLiveMs) {
    return statement("look", callNumber, timeToLiveMs).replace("work=100", "work=1000");
  }

  /** Returns a statement of this request class, with 100 ms of estimated work. */
  static String statement(String requestClass, int callNumber, int timeToLiveMs) {
    return "/* op=%s,call=%016x,ttl=%d,work=100 */ SELECT n FROM a_1.t"
        .formatted(requestClass, callNumber, timeToLiveMs);
  }

  /** Returns a Query message as sent on the wire. */
  static byte[] queryMessage(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(bytes.length + 6)
        .put((byte) 'Q')
        .putInt(bytes.length + 5)
        .put(bytes)
        .put((byte) 0)
        .array();
  }

  /** Returns a configuration with a long connect timeout for engines. */
  static String withLongConnectTimeout(String configuration) {
    return configuration.replace(
        "\"connect_timeout_us\":2000000", "\"connect_timeout_us\":30000000");
  }
}
