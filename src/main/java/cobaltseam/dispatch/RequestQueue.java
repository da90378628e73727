package cobaltseam.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

/** Holds all open requests by id, and those among them that are queued, in order of arrival. */
final class RequestQueue {
  private final Map<RequestId, TrackedRequest> open = new HashMap<>();
  private final TreeSet<TrackedRequest> queued =
      new TreeSet<>(Comparator.comparingLong(TrackedRequest::arrivalNumber));

  /** Returns the open request with this id, or null. */
  TrackedRequest get(RequestId id) {
    return open.get(id);
  }

  Collection<TrackedRequest> open() {
    return open.values();
  }

  List<TrackedRequest> openByArrival() {
    return open.values().stream()
        .sorted(Comparator.comparingLong(TrackedRequest::arrivalNumber))
        .toList();
  }

  SortedSet<TrackedRequest> queued() {
    return queued;
  }

  boolean isIdle() {
    return open.isEmpty() && queued.isEmpty();
  }

  void addOpen(TrackedRequest request) {
    open.put(request.request().id(), request);
  }

  void enqueue(TrackedRequest request) {
    queued.add(request);
  }

  void dequeue(TrackedRequest request) {
    queued.remove(request);
  }

  void clearQueued() {
    queued.clear();
  }

  void close(TrackedRequest request) {
    queued.remove(request);
    open.remove(request.request().id());
  }
}
