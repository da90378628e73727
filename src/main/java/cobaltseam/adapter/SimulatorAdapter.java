package cobaltseam.adapter;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.deployment.JsonObjectReader;
import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.GroupId;
import cobaltseam.dispatch.LocationId;
import cobaltseam.dispatch.MachineTypeId;
import cobaltseam.dispatch.Timestamp;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Speaks the simulator's protocol: reads a batch of events a line, writes a line of decisions. */
public final class SimulatorAdapter {
  private final JsonFactory json = new JsonFactory();
  private final Map<Long, SimulatedDispatcher> dispatchers = new HashMap<>();
  private final Map<Long, List<EndpointStatus>> endpointLists = new HashMap<>();

  /**
   * Answers batches until the input ends.
   *
   * @throws InvalidInputException if a line is not a valid batch; says what is wrong with it
   * @throws IOException if reading or writing fails
   */
  public void run(InputStream in, OutputStream out) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    JsonGenerator writer =
        json.createGenerator(out).disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
    writer.setRootValueSeparator(null);
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      JsonObjectReader batch;
      try (JsonParser parser = json.createParser(line)) {
        batch = JsonObjectReader.of(parser);
      } catch (JsonProcessingException exception) {
        throw new InvalidInputException("a line is not JSON: " + exception.getOriginalMessage());
      }
      answerBatch(batch, writer);
      writer.writeRaw('\n');
      writer.flush();
      out.flush();
    }
  }

  private void answerBatch(JsonObjectReader batch, JsonGenerator out) throws IOException {
    Timestamp now = new Timestamp(batch.integer("time_us"));
    Map<Long, List<SimulatedDispatcher.WireDecision>> replies = new LinkedHashMap<>();
    for (JsonObjectReader group : batch.objects("groups")) {
      long number = group.integer("dispatcher");
      List<SimulatedDispatcher.WireDecision> reply =
          replies.computeIfAbsent(number, n -> new ArrayList<>());
      for (JsonObjectReader event : group.objects("events")) {
        String name = event.singleFieldName();
        handleEvent(number, name, event.object(name), reply, now);
      }
    }
    out.writeStartObject();
    out.writeArrayFieldStart("groups");
    for (Map.Entry<Long, List<SimulatedDispatcher.WireDecision>> reply : replies.entrySet()) {
      if (!reply.getValue().isEmpty()) {
        out.writeStartObject();
        out.writeNumberField("dispatcher", reply.getKey());
        out.writeArrayFieldStart("decisions");
        for (SimulatedDispatcher.WireDecision decision : reply.getValue()) {
          decision.write(out);
        }
        out.writeEndArray();
        out.writeEndObject();
      }
    }
    out.writeEndArray();
    out.writeEndObject();
  }

  private void handleEvent(
      long number,
      String name,
      JsonObjectReader event,
      List<SimulatedDispatcher.WireDecision> reply,
      Timestamp now) {
    if (name.equals("roster")) {
      endpointLists.put(event.integer("ref"), endpointList(event));
      return;
    }
    if (name.equals("stop")) {
      // Decisions of the stopped dispatcher must not reach the one that starts in its place.
      dispatchers.remove(number);
      reply.clear();
      return;
    }
    if (name.equals("born")) {
      dispatchers.put(number, new SimulatedDispatcher(event, reply));
      return;
    }
    SimulatedDispatcher dispatcher = dispatchers.get(number);
    if (dispatcher == null) {
      throw new InvalidInputException(name + ": dispatcher " + number + " was not born");
    }
    try {
      dispatcher.setReply(reply);
      switch (name) {
        case "accept" -> dispatcher.acceptRequest(event, now);
        case "verdict" -> dispatcher.completeAttempt(event, now);
        case "sync" ->
            dispatcher.updateEndpoints(
                event, endpointLists.getOrDefault(event.integer("ref", 0), List.of()), now);
        case "withdrawn" -> dispatcher.clientLeft(event, now);
        case "elapsed" -> dispatcher.timerElapsed(event);
        case "change" -> dispatcher.updateAttempt(event, now);
        case "check_result", "peer", "first_byte" -> {}
        default -> throw new InvalidInputException("unknown event '" + name + "'");
      }
      dispatcher.followNextSteps(now);
    } catch (InvalidInputException exception) {
      throw exception;
    } catch (RuntimeException exception) {
      dispatcher.reportFault(exception);
    }
  }

  private static List<EndpointStatus> endpointList(JsonObjectReader event) {
    List<EndpointStatus> list = new ArrayList<>();
    for (JsonObjectReader entry : event.objects("nodes_list")) {
      String state = entry.text("lifecycle");
      list.add(
          new EndpointStatus(
              new EngineId(entry.integer("node")),
              new LocationId(entry.text("failure_domain", "")),
              new MachineTypeId(entry.text("model", "")),
              new GroupId(entry.integer("block", 0)),
              switch (state) {
                case "up" -> EndpointStatus.EndpointState.UP;
                case "draining" -> EndpointStatus.EndpointState.DRAINING;
                case "removed" -> EndpointStatus.EndpointState.REMOVED;
                default -> throw new InvalidInputException("roster: unknown 'lifecycle' " + state);
              },
              new Timestamp(entry.integer("launched_us", 0))));
    }
    return list;
  }
}
