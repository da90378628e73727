package cobaltseam.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Keeps requests with the same sequence key in the order in which they were accepted. */
final class KeySequences {
  private static final class KeySequence {
    private final Deque<TrackedRequest> queue = new ArrayDeque<>();
    private Timestamp restUntil;

    private boolean isRested(Timestamp now) {
      return restUntil == null || !now.isBefore(restUntil);
    }
  }

  private final Map<SequenceKey, KeySequence> sequences = new HashMap<>();

  /** Keys whose last request has ended, to be forgotten once they have rested. */
  private final Deque<SequenceKey> emptied = new ArrayDeque<>();

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
        emptied.addLast(key);
      }
    }
  }

  /** Empties all queues, for the requests to be added again; keys go on resting. */
  void clearQueues() {
    sequences.values().forEach(s -> s.queue.clear());
  }

  /** Lets a key rest after an attempt that may still run. */
  void rest(TrackedRequest request, Timestamp now) {
    if (request.isSequenced()) {
      sequences.get(request.request().sequenceKey()).restUntil =
          now.plus(request.rules().sequenceKeyRest());
    }
  }

  /** Whether a request is the first of its key, and the key has rested before its first attempt. */
  boolean isTurnOf(TrackedRequest request, Timestamp now) {
    if (!request.isSequenced()) {
      return true;
    }
    KeySequence sequence = sequences.get(request.request().sequenceKey());
    return sequence.queue.peekFirst() == request
        && (request.attempts() > 0 || sequence.isRested(now));
  }

  void forgetRested(Timestamp now) {
    while (!emptied.isEmpty() && canForget(emptied.peekFirst(), now)) {
      sequences.computeIfPresent(emptied.removeFirst(), (key, s) -> s.queue.isEmpty() ? null : s);
    }
  }

  private boolean canForget(SequenceKey key, Timestamp now) {
    KeySequence sequence = sequences.get(key);
    return sequence == null || sequence.isRested(now);
  }
}
