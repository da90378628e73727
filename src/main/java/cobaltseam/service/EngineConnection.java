package cobaltseam.service;

import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.Timestamp;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/** One connection to one engine, and the attempts on it; the event-loop thread's own. */
final class EngineConnection {
  /** Call ids of abandoned attempts that are remembered, so that late answers are recognized. */
  private static final int MAX_ABANDONED_IDS = 256;

  /** Answers to unknown call ids that an engine may write between two of our own writes. */
  private static final int MAX_UNSOLICITED_ANSWERS = 256;

  /** Unwritten bytes from which on no further attempt uses this connection. */
  private static final int MAX_UNWRITTEN_BYTES = 1 << 18;

  final EngineId engine;
  final Timestamp openedAt;

  /** The attempts on this connection by call id. */
  final Map<String, Attempt> attempts = new HashMap<>();

  private final Map<String, Boolean> abandonedIds =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MAX_ABANDONED_IDS;
        }
      };

  /** Its key in the table of all connections. */
  long key;

  ConnectFuture future;
  Timers.Timer connectTimeout;

  /** Null until it is connected. */
  IoSession session;

  Timestamp receivedAt;
  Timestamp idleSince;
  private long writtenMessages;
  private int unsolicitedAnswers;

  EngineConnection(EngineId engine, Timestamp openedAt) {
    this.engine = engine;
    this.openedAt = openedAt;
    receivedAt = openedAt;
    idleSince = openedAt;
  }

  /**
   * Writes a message.
   *
   * @return how many messages the session has written once this one is completely out
   */
  long write(byte[] bytes) {
    session.write(IoBuffer.wrap(bytes));
    unsolicitedAnswers = 0;
    return ++writtenMessages;
  }

  /** Counts an answer to an unknown call id; whether there are now too many of them. */
  boolean isFloodedByAnswer() {
    return ++unsolicitedAnswers > MAX_UNSOLICITED_ANSWERS;
  }

  /**
   * Whether a further attempt may use this connection. Each call id may use it only once, or the
   * answers to two attempts would be mixed up.
   */
  boolean canTake(String callId, int maxAttempts) {
    return attempts.size() < maxAttempts
        && !attempts.containsKey(callId)
        && !abandonedIds.containsKey(callId)
        && (session == null
            || session.isActive() && session.getScheduledWriteBytes() < MAX_UNWRITTEN_BYTES);
  }

  /** An answer with this call id may still come, and is then ignored. */
  void addAbandoned(String callId) {
    abandonedIds.put(callId, true);
  }

  boolean isAbandoned(String callId) {
    return abandonedIds.containsKey(callId);
  }
}
