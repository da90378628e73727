package cobaltseam.service;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.deployment.JsonObjectReader;
import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.GroupId;
import cobaltseam.dispatch.LocationId;
import cobaltseam.dispatch.MachineTypeId;
import cobaltseam.dispatch.Timestamp;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One event of the endpoint watch.
 *
 * @param offset the number of the event; consecutive events have consecutive numbers
 * @param isComplete whether the event holds the complete endpoint list, or only changes
 * @param endpoints the states of engines
 * @param addresses the addresses of the engines for which the event gives one
 */
record WatchEvent(
    long offset,
    boolean isComplete,
    List<EndpointStatus> endpoints,
    Map<EngineId, InetSocketAddress> addresses) {
  static final String EVENT_FIELD = "topology";
  static final String OFFSET_FIELD = "offset";
  static final String COMPLETE_FIELD = "all";
  private static final int HEX_RADIX = 16;

  /** A hexadecimal number of at most 32 bits, the low bits of an engine id. */
  private static final String HEX_NUMBER = "[0-9a-fA-F]{1,8}";

  private static final long US_PER_MS = 1000;
  private static final long FNV_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  /**
   * Reads an event.
   *
   * @throws InvalidInputException if a field is missing or can't be used
   */
  static WatchEvent of(JsonObjectReader event) {
    JsonObjectReader topology = event.object(EVENT_FIELD);
    List<EndpointStatus> endpoints = new ArrayList<>();
    Map<EngineId, InetSocketAddress> addresses = new HashMap<>();
    for (JsonObjectReader target : topology.objects("targets")) {
      EngineId engine = engineId(target.text("uid"));
      endpoints.add(
          new EndpointStatus(
              engine,
              new LocationId(target.text("az", "")),
              new MachineTypeId(target.text("model", "")),
              new GroupId(target.integer("pod_group", 0)),
              state(target.text("state")),
              new Timestamp(target.integer("boot_ms", 0) * US_PER_MS)));
      if (target.has("endpoint")) {
        addresses.put(engine, ServiceConfiguration.address(target.text("endpoint")));
      }
    }
    return new WatchEvent(
        event.integer(OFFSET_FIELD, 0), topology.flag(COMPLETE_FIELD), endpoints, addresses);
  }

  private static EndpointStatus.EndpointState state(String state) {
    return switch (state) {
      case "in_service" -> EndpointStatus.EndpointState.UP;
      case "terminating" -> EndpointStatus.EndpointState.DRAINING;
      case "terminated" -> EndpointStatus.EndpointState.REMOVED;
      default -> throw new InvalidInputException("targets: unknown 'state' " + state);
    };
  }

  /**
   * Computes an engine's id from its name alone, so that all dispatchers compute the same id. The
   * low 32 bits are the hexadecimal number at the end of the name, and the high bits are a hash of
   * the prefix, so that "east-01" and "west-01" are two engines, and engines whose names differ
   * only in the number are ordered by it. The id of a name without such a number is a hash of the
   * complete name.
   */
  static EngineId engineId(String uid) {
    int numberFrom = uid.lastIndexOf('-') + 1;
    String number = uid.substring(numberFrom);
    if (!number.matches(HEX_NUMBER)) {
      return new EngineId(hash(uid) & Long.MAX_VALUE);
    }
    long prefixHash = hash(uid.substring(0, numberFrom)) << Integer.SIZE;
    return new EngineId((prefixHash | Long.parseLong(number, HEX_RADIX)) & Long.MAX_VALUE);
  }

  /** Returns the 64-bit FNV-1a hash of a name. */
  private static long hash(String name) {
    long hash = FNV_BASIS;
    for (byte nextByte : name.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ nextByte & 0xff) * FNV_PRIME;
    }
    return hash;
  }
}
