package cobaltseam.service;

import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import cobaltseam.dispatch.EngineId;
import cobaltseam.logging.Field;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Knows which engine has which address. A new engine may get the address of one that has gone, and
 * the event that says so may arrive late or never: the earlier engine then counts as removed, or
 * requests for it would be sent to the new one. Confined to the event-loop thread.
 */
final class EndpointAddresses {
  private static final System.Logger LOG = System.getLogger(EndpointAddresses.class.getName());

  /** The status of the engine that has each address. */
  private final Map<InetSocketAddress, EndpointStatus> holders = new HashMap<>();

  private final Map<EngineId, InetSocketAddress> addresses = new HashMap<>();

  /** Engines that have lost their address to another one. */
  private final Set<EngineId> replaced = new HashSet<>();

  /** The highest offset of all events so far. */
  private long lastOffset;

  /**
   * Returns an event with the engines that have lost their address to another one as removed. An
   * event that comes late takes no address from an engine of a later one.
   */
  WatchEvent withReplacedEnginesRemoved(WatchEvent event) {
    if (event.isComplete()) {
      holders.clear();
      addresses.clear();
      replaced.clear();
    }
    boolean isLate = event.offset() < lastOffset;
    lastOffset = Math.max(lastOffset, event.offset());
    Map<EngineId, EndpointStatus> statuses = new LinkedHashMap<>();
    for (EndpointStatus status : event.endpoints()) {
      statuses.put(status.engine(), status);
      InetSocketAddress address = event.addresses().get(status.engine());
      if (address != null) {
        move(status.engine(), address);
      }
      apply(status, isLate, statuses);
    }
    return new WatchEvent(
        event.offset(), event.isComplete(), new ArrayList<>(statuses.values()), event.addresses());
  }

  /** Records an engine's address; an engine with a new one is no longer replaced. */
  private void move(EngineId engine, InetSocketAddress address) {
    InetSocketAddress earlier = addresses.put(engine, address);
    if (earlier != null && !earlier.equals(address)) {
      release(engine, earlier);
      replaced.remove(engine);
    }
  }

  private void release(EngineId engine, InetSocketAddress address) {
    EndpointStatus holder = holders.get(address);
    if (holder != null && holder.engine().equals(engine)) {
      holders.remove(address);
    }
  }

  private void apply(
      EndpointStatus status, boolean isLate, Map<EngineId, EndpointStatus> statuses) {
    EngineId engine = status.engine();
    InetSocketAddress address = addresses.get(engine);
    if (status.state() == EndpointState.REMOVED) {
      addresses.remove(engine);
      replaced.remove(engine);
      if (address != null) {
        release(engine, address);
      }
      return;
    }
    if (address == null) {
      return;
    }
    EndpointStatus holder = holders.get(address);
    boolean isOther = holder != null && !holder.engine().equals(engine);
    boolean isEarlier =
        isOther
            && !holder.startedAt().isBefore(status.startedAt())
            && (isLate
                || replaced.contains(engine)
                || status.startedAt().isBefore(holder.startedAt()));
    if (isEarlier) {
      replace(status, holder, statuses);
      return;
    }
    if (isOther) {
      replace(holder, status, statuses);
    }
    replaced.remove(engine);
    holders.put(address, status);
  }

  private void replace(
      EndpointStatus earlier, EndpointStatus later, Map<EngineId, EndpointStatus> statuses) {
    if (replaced.add(earlier.engine())) {
      LOG.log(
          Level.INFO,
          "engine {0} counts as removed: its address is given to engine {1}",
          Field.of("engine", Long.toHexString(earlier.engine().value())),
          Field.of("newEngine", Long.toHexString(later.engine().value())),
          Field.event("engine.replaced"));
    }
    statuses.put(earlier.engine(), removed(earlier));
  }

  private static EndpointStatus removed(EndpointStatus status) {
    return new EndpointStatus(
        status.engine(),
        status.location(),
        status.machineType(),
        status.group(),
        EndpointState.REMOVED,
        status.startedAt());
  }
}
