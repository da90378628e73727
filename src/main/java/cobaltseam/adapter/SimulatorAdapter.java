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

/** Speaks the simulator's wire: a batch of events a line in, a line of decisions out. */
public final class SimulatorAdapter {
  private final JsonFactory json = new JsonFactory();
  private final Map<Long, SimulatedDispatcher> instances = new HashMap<>();
  private final Map<Long, List<EndpointStatus>> rosters = new HashMap<>();

  /**
   * Answers batches until the input ends; throws {@link InvalidInputException} on what it can't
   * take.
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
      } catch (JsonProcessingException e) {
        throw new InvalidInputException("a line is not JSON: " + e.getOriginalMessage());
      }
      answer(batch, writer);
      writer.writeRaw('\n');
      writer.flush();
      out.flush();
    }
  }

  private void answer(JsonObjectReader batch, JsonGenerator out) throws IOException {
    Timestamp now = new Timestamp(batch.whole("time_us"));
    Map<Long, List<SimulatedDispatcher.Message>> replies = new LinkedHashMap<>();
    for (JsonObjectReader group : batch.objects("groups")) {
      long number = group.whole("dispatcher");
      List<SimulatedDispatcher.Message> reply =
          replies.computeIfAbsent(number, n -> new ArrayList<>());
      for (JsonObjectReader event : group.objects("events")) {
        String name = event.onlyName();
        take(number, name, event.object(name), reply, now);
      }
    }
    out.writeStartObject();
    out.writeArrayFieldStart("groups");
    for (Map.Entry<Long, List<SimulatedDispatcher.Message>> reply : replies.entrySet()) {
      if (!reply.getValue().isEmpty()) {
        out.writeStartObject();
        out.writeNumberField("dispatcher", reply.getKey());
        out.writeArrayFieldStart("decisions");
        for (SimulatedDispatcher.Message message : reply.getValue()) {
          message.write(out);
        }
        out.writeEndArray();
        out.writeEndObject();
      }
    }
    out.writeEndArray();
    out.writeEndObject();
  }

  private void take(
      long number,
      String name,
      JsonObjectReader f,
      List<SimulatedDispatcher.Message> reply,
      Timestamp now) {
    if (name.equals("roster")) {
      rosters.put(f.whole("ref"), roster(f));
      return;
    }
    if (name.equals("stop")) {
      // What this life still had to write must not reach the next one.
      instances.remove(number);
      reply.clear();
      return;
    }
    if (name.equals("born")) {
      instances.put(number, new SimulatedDispatcher(f, reply));
      return;
    }
    SimulatedDispatcher instance = instances.get(number);
    if (instance == null) {
      throw new InvalidInputException(name + ": dispatcher " + number + " was not born");
    }
    try {
      instance.answerInto(reply);
      switch (name) {
        case "accept" -> instance.accepted(f, now);
        case "verdict" -> instance.ended(f, now);
        case "sync" -> instance.listed(f, rosters.getOrDefault(f.whole("ref", 0), List.of()), now);
        case "withdrawn" -> instance.departed(f, now);
        case "elapsed" -> instance.elapsed(f);
        case "change" -> instance.noted(f, now);
        case "check_result", "peer", "first_byte" -> {}
        default -> throw new InvalidInputException("unknown event '" + name + "'");
      }
      instance.follow(now);
    } catch (InvalidInputException e) {
      throw e;
    } catch (RuntimeException e) {
      instance.fault(e);
    }
  }

  private static List<EndpointStatus> roster(JsonObjectReader f) {
    List<EndpointStatus> list = new ArrayList<>();
    for (JsonObjectReader entry : f.objects("nodes_list")) {
      String standing = entry.text("lifecycle");
      list.add(
          new EndpointStatus(
              new EngineId(entry.whole("node")),
              new LocationId(entry.text("failure_domain", "")),
              new MachineTypeId(entry.text("model", "")),
              new GroupId(entry.whole("block", 0)),
              switch (standing) {
                case "up" -> EndpointStatus.EndpointState.UP;
                case "draining" -> EndpointStatus.EndpointState.DRAINING;
                case "removed" -> EndpointStatus.EndpointState.GONE;
                default ->
                    throw new InvalidInputException("roster: unknown 'lifecycle' " + standing);
              },
              new Timestamp(entry.whole("launched_us", 0))));
    }
    return list;
  }
}
