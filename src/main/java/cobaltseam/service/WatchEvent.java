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
 * One event of the bus: what has changed in the list of engines, or the whole list, and their
 * addresses.
 */
record WatchEvent(
    long offset,
    boolean whole,
    List<EndpointStatus> list,
    Map<EngineId, InetSocketAddress> addresses) {
  static final String EVENT = "topology";
  static final String OFFSET = "offset";
  static final String WHOLE = "all";
  private static final int HEX = 16;

  /** As many hex digits as an int holds. */
  private static final String NUMBER = "[0-9a-fA-F]{1,8}";

  private static final long US_PER_MS = 1000;
  private static final long FNV_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  static WatchEvent of(JsonObjectReader event) {
    JsonObjectReader told = event.object(EVENT);
    List<EndpointStatus> list = new ArrayList<>();
    Map<EngineId, InetSocketAddress> addresses = new HashMap<>();
    for (JsonObjectReader target : told.objects("targets")) {
      EngineId engine = engine(target.text("uid"));
      list.add(
          new EndpointStatus(
              engine,
              new LocationId(target.text("az", "")),
              new MachineTypeId(target.text("model", "")),
              new GroupId(target.whole("pod_group", 0)),
              standing(target.text("state")),
              new Timestamp(target.whole("boot_ms", 0) * US_PER_MS)));
      if (target.has("endpoint")) {
        addresses.put(engine, ServiceConfiguration.address(target.text("endpoint")));
      }
    }
    return new WatchEvent(event.whole(OFFSET, 0), told.flag(WHOLE), list, addresses);
  }

  private static EndpointStatus.EndpointState standing(String state) {
    return switch (state) {
      case "in_service" -> EndpointStatus.EndpointState.UP;
      case "terminating" -> EndpointStatus.EndpointState.DRAINING;
      case "terminated" -> EndpointStatus.EndpointState.GONE;
      default -> throw new InvalidInputException("targets: unknown 'state' " + state);
    };
  }

  /**
   * An engine's id, made from its name alone and so alike everywhere: the number at the name's end
   * below a hash of what stands before it, so that "east-01" and "west-01" are two engines, and
   * those of one kind of name keep the order of their numbers. A name without such a number is
   * hashed whole.
   */
  static EngineId engine(String uid) {
    int numberFrom = uid.lastIndexOf('-') + 1;
    String number = uid.substring(numberFrom);
    if (!number.matches(NUMBER)) {
      return new EngineId(hash(uid) & Long.MAX_VALUE);
    }
    long before = hash(uid.substring(0, numberFrom)) << Integer.SIZE;
    return new EngineId((before | Long.parseLong(number, HEX)) & Long.MAX_VALUE);
  }

  private static long hash(String name) {
    long hash = FNV_BASIS;
    for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ b & 0xff) * FNV_PRIME;
    }
    return hash;
  }
}
