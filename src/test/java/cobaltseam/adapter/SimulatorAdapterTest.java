package cobaltseam.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.deployment.InvalidInputException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the simulator's protocol with short exchanges of batches and decisions. */
class SimulatorAdapterTest {
  private static final String BORN_EVENT =
      """
            {"born":{"nonce64":18446744073709551615,"settings":{"balancers":1,"position":0,"tick_us":1000,
            "unknown":[1,{"x":null}],"classes":[{"name":"look","aim_us":500000,"hard_limit_us":2000000,
            "repeat":"read_like","importance":1}],"machine_types":["m"],
            "family_info":{"cores_by_kind":[2],"width_by_class":[1],"ranks_heeded":true},
            "limits":{"most_tries":2,"cancel":true},"rules":{},"load_report":{"fields":["busy_reqs"]}}}}
            """
          .replace("\n", "");
  private static final String ENDPOINT_LIST_EVENTS =
      """
            {"roster":{"ref":3,"nodes_list":[{"node":77,"failure_domain":"z","model":"m","lifecycle":"up"}]}},
            {"sync":{"index":1,"kind":"warm_copy","ref":3}}"""
          .replace("\n", "");

  private static List<String> run(String... batches) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] in = (String.join("\n", batches) + "\n").getBytes(StandardCharsets.UTF_8);
    new SimulatorAdapter().run(new ByteArrayInputStream(in), out);
    return out.toString(StandardCharsets.UTF_8).lines().toList();
  }

  private static String batch(long timeUs, String events) {
    return "{\"time_us\":"
        + timeUs
        + ",\"groups\":[{\"dispatcher\":4,\"events\":["
        + events
        + "]}]}";
  }

  private static String acceptEvent(String id) {
    return "{\"accept\":{\"op_id\":\""
        + id
        + "\",\"kind\":\"look\",\"due_us\":2001000,\"guess_us\":9000,\"attrs\":1}}";
  }

  private static String verdictEvent(String id, String verdict) {
    return "{\"verdict\":{\"op_id\":\""
        + id
        + "\",\"copy\":0,\"node\":77,\"verdict\":\""
        + verdict
        + "\",\"duration_us\":9000,\"gauge\":[3]}}";
  }

  @Test
  void sendsARequestWithPriorityAndTimeoutAndCompletesItOnce() throws IOException {
    List<String> out =
        run(
            "{\"time_us\":500,\"groups\":[]}",
            batch(1000, BORN_EVENT + "," + ENDPOINT_LIST_EVENTS + "," + acceptEvent("a")),
            batch(
                11000, verdictEvent("a", "pass").replace("\"copy\"", "\"settled\":true,\"copy\"")),
            batch(
                12000,
                verdictEvent("a", "pass")
                    + ",{\"withdrawn\":{\"op_id\":\"a\"}},{\"elapsed\":{\"name\":99}}"));
    assertEquals("{\"groups\":[]}", out.get(0));
    assertTrue(
        out.get(1)
            .startsWith(
                "{\"groups\":[{\"dispatcher\":4,\"decisions\":[{\"provide\":{\"op_id\":\"a\",\"grant_mb\":0,\"rank\":3}}"));
    assertTrue(out.get(1).contains("{\"try\":{\"op_id\":\"a\",\"node\":77,\"max_wait_us\":"));
    assertEquals("{\"groups\":[]}", out.get(2));
    assertEquals("{\"groups\":[]}", out.get(3));
  }

  @Test
  void saturatedDispatcherSetsOneTimerAndStopDiscardsItsState() throws IOException {
    String fiveRequests =
        acceptEvent("a")
            + ","
            + acceptEvent("b")
            + ","
            + acceptEvent("c")
            + ","
            + acceptEvent("d")
            + ","
            + acceptEvent("e");
    List<String> out =
        run(
            batch(1000, BORN_EVENT + "," + ENDPOINT_LIST_EVENTS + "," + fiveRequests),
            batch(
                2000,
                verdictEvent("a", "fault")
                    + ",{\"stop\":{}},"
                    + BORN_EVENT
                    + ","
                    + ENDPOINT_LIST_EVENTS
                    + ","
                    + acceptEvent("f")),
            batch(3000, verdictEvent("b", "pass")));
    assertEquals(4, out.get(0).split("\\{\"try\"").length - 1);
    assertEquals(1, out.get(0).split("\\{\"schedule\"").length - 1);
    assertEquals(1, out.get(1).split("\\{\"try\"").length - 1);
    assertTrue(out.get(1).contains("\"f\""));
    assertEquals("{\"groups\":[]}", out.get(2));
  }

  @Test
  void invalidInputIsRejectedWithItsCause() {
    for (String[] input :
        new String[][] {
          {"{\"time_us\":1", "not JSON"},
          {"[]", "not a JSON object"},
          {"{\"groups\":[]}", "'time_us' is missing"},
          {batch(1, "{\"dance\":{}}"), "dispatcher 4 has not been started by a 'born' event"},
          {batch(1, BORN_EVENT + ",{\"dance\":{}}"), "unknown event 'dance'"},
          {batch(1, BORN_EVENT + ",{\"accept\":{\"kind\":\"look\"}}"), "'op_id' is missing"},
          {batch(1, BORN_EVENT.replace("read_like", "maybe")), "unknown 'repeat' maybe"}
        }) {
      String message = assertThrows(InvalidInputException.class, () -> run(input[0])).getMessage();
      assertTrue(message.contains(input[1]), message);
    }
  }

  @Test
  void exceptionInTheDispatcherIsReported() throws IOException {
    List<String> out =
        run(batch(1000, BORN_EVENT + "," + acceptEvent("a").replace("look", "other")));
    assertTrue(out.get(0).contains("{\"exception\":{\"reason_text\":"), out.get(0));
  }
}
