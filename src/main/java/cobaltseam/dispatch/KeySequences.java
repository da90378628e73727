package cobaltseam.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Keeps requests with the same sequence key in the order in which they were accepted, one at a
 * time.
 */
final class KeySequences {
  private static final class KeySequence {
    private final Deque<TrackedRequest> queue = new ArrayDeque<>();
    private Timestamp restUntil;

    private boolean isRested(Timestamp now) {
      return restUntil == null || !now.isBefore(restUntil);
    }
  }

  private final Map<SequenceKey, KeySequence> sequences = new HashMap<>();

  /** Keys whose last request has ended; they are removed once they have rested. */
  private final Deque<SequenceKey> emptiedKeys = new ArrayDeque<>();

  void add(TrackedRequest request) {
    if (request.isSequenced()) {
      sequences
          .computeIfAbsent(request.request().sequenceKey(), k -> new KeySequence())
          .queue
          .addLast(request);
    }
  }

  void remove(TrackedRequest request) {
    if (request.isSequenced()) {
      SequenceKey key = request.request().sequenceKey();
      KeySequence sequence = sequences.get(key);
      sequence.queue.remove(request);
      if (sequence.queue.isEmpty()) {
        emptiedKeys.addLast(key);
      }
    }
  }

  /** Empties all queues, so that the requests can be added again; keys keep resting. */
  void clearQueues() {
    sequences.values().forEach(s -> s.queue.clear());
  }

  /**
   * Starts the rest of a key: no new request of the key starts meanwhile, as an earlier attempt may
   * still be running.
   */
  void startRest(TrackedRequest request, Timestamp now) {
    if (request.isSequenced()) {
      sequences.get(request.request().sequenceKey()).restUntil =
          now.plus(request.rules().sequenceKeyRest());
    }
  }

  /**
   * Returns whether a request may be sent: it is the first of its key, and, before its first
   * attempt, the key has rested.
   */
  boolean mayStart(TrackedRequest request, Timestamp now) {
    if (!request.isSequenced()) {
      return true;
    }
    KeySequence sequence = sequences.get(request.request().sequenceKey());
    return sequence.queue.peekFirst() == request
        && (request.attempts() > 0 || sequence.isRested(now));
  }

  void removeRestedKeys(Timestamp now) {
    while (!emptiedKeys.isEmpty() && canRemove(emptiedKeys.peekFirst(), now)) {
      sequences.computeIfPresent(
          emptiedKeys.removeFirst(), (key, s) -> s.queue.isEmpty() ? null : s);
    }
  }

  private boolean canRemove(SequenceKey key, Timestamp now) {
    KeySequence sequence = sequences.get(key);
    return sequence == null || sequence.isRested(now);
  }
}
