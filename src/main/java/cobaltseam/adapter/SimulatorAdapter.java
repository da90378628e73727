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

/**
 * Implements the simulator's protocol: reads lines of JSON, each a batch of events for any number
 * of dispatchers, and writes one line of decisions for each. Not thread-safe.
 */
public final class SimulatorAdapter {
  private final JsonFactory jsonFactory = new JsonFactory();

  /** The running dispatchers by their number. */
  private final Map<Long, SimulatedDispatcher> dispatchers = new HashMap<>();

  /** The endpoint lists received, by the number that events refer to them by. */
  private final Map<Long, List<EndpointStatus>> endpointLists = new HashMap<>();

  /**
   * Processes batches until the input ends.
   *
   * @throws InvalidInputException if a line is not a valid batch; the message names the fault
   * @throws IOException if reading or writing fails
   */
  public void run(InputStream in, OutputStream out) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    JsonGenerator writer =
        jsonFactory.createGenerator(out).disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
    writer.setRootValueSeparator(null);
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      JsonObjectReader batch;
      try (JsonParser parser = jsonFactory.createParser(line)) {
        batch = JsonObjectReader.of(parser);
      } catch (JsonProcessingException exception) {
        throw new InvalidInputException(
            "input line is not JSON: " + exception.getOriginalMessage());
      }
      processBatch(batch, writer);
      writer.writeRaw('\n');
      writer.flush();
      out.flush();
    }
  }

  private void processBatch(JsonObjectReader batch, JsonGenerator out) throws IOException {
    Timestamp now = new Timestamp(batch.integer("time_us"));
    Map<Long, List<SimulatedDispatcher.WireDecision>> replies = new LinkedHashMap<>();
    for (JsonObjectReader group : batch.objects("groups")) {
      long dispatcherNumber = group.integer("dispatcher");
      List<SimulatedDispatcher.WireDecision> reply =
          replies.computeIfAbsent(dispatcherNumber, n -> new ArrayList<>());
      for (JsonObjectReader event : group.objects("events")) {
        String name = event.singleFieldName();
        handleEvent(dispatcherNumber, name, event.object(name), reply, now);
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
      long dispatcherNumber,
      String name,
      JsonObjectReader event,
      List<SimulatedDispatcher.WireDecision> reply,
      Timestamp now) {
    if (name.equals("roster")) {
      endpointLists.put(event.integer("ref"), endpointList(event));
      return;
    }
    if (name.equals("stop")) {
      // Decisions of the stopped dispatcher must not reach its successor with the same number.
      dispatchers.remove(dispatcherNumber);
      reply.clear();
      return;
    }
    if (name.equals("born")) {
      dispatchers.put(dispatcherNumber, new SimulatedDispatcher(event, reply));
      return;
    }
    SimulatedDispatcher dispatcher = dispatchers.get(dispatcherNumber);
    if (dispatcher == null) {
      throw new InvalidInputException(
          name + ": dispatcher " + dispatcherNumber + " has not been started by a 'born' event");
    }
    try {
      dispatcher.setReply(reply);
      switch (name) {
        case "accept" -> dispatcher.acceptRequest(event, now);
        case "verdict" -> dispatcher.completeAttempt(event, now);
        case "sync" ->
            dispatcher.updateEndpoints(
                event, endpointLists.getOrDefault(event.integer("ref", 0), List.of()), now);
        case "withdrawn" -> dispatcher.clientDisconnected(event, now);
        case "elapsed" -> dispatcher.timerElapsed(event);
        case "change" -> dispatcher.updateAttempt(event, now);
        case "check_result", "peer", "first_byte" -> {}
        default -> throw new InvalidInputException("unknown event '" + name + "'");
      }
      dispatcher.executeNextSteps(now);
    } catch (InvalidInputException exception) {
      throw exception;
    } catch (RuntimeException exception) {
      dispatcher.reportException(exception);
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
