package cobaltseam.service;

import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.Timestamp;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/** One connection to one engine and the attempts on it. Confined to the event-loop thread. */
final class EngineConnection {
  /**
   * The number of most recent call ids of abandoned attempts that are kept, so that late answers to
   * them are recognized.
   */
  private static final int MAX_ABANDONED_IDS = 256;

  /**
   * The number of answers to unknown call ids that an engine may write between two writes of this
   * process.
   */
  private static final int MAX_UNSOLICITED_ANSWERS = 256;

  /** With this many unwritten bytes or more, the connection accepts no further attempt. */
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

  /** The key of this connection in the slot table of all connections. */
  long key;

  ConnectFuture future;
  Timers.Timer connectTimer;

  /** Null until the connection is established. */
  IoSession session;

  /** When answers were last received; before that, when the connection was opened. */
  Timestamp receivedAt;

  /** When the connection last became free of attempts. */
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
   * @return the number of messages that the session has written once this one is written completely
   */
  long write(byte[] bytes) {
    session.write(IoBuffer.wrap(bytes));
    unsolicitedAnswers = 0;
    return ++writtenMessages;
  }

  /**
   * Counts an answer to an unknown call id.
   *
   * @return whether more than {@link #MAX_UNSOLICITED_ANSWERS} were counted since the last write
   */
  boolean countUnsolicitedAnswer() {
    return ++unsolicitedAnswers > MAX_UNSOLICITED_ANSWERS;
  }

  /**
   * Whether a further attempt may use this connection. A call id may be used on it only once, since
   * the answers to two attempts with the same id could not be distinguished.
   */
  boolean canAccept(String callId, int maxAttempts) {
    return attempts.size() < maxAttempts
        && !attempts.containsKey(callId)
        && !abandonedIds.containsKey(callId)
        && (session == null
            || session.isActive() && session.getScheduledWriteBytes() < MAX_UNWRITTEN_BYTES);
  }

  /**
   * Records an abandoned attempt, whose answer may still be received and is then ignored as late.
   */
  void addAbandoned(String callId) {
    abandonedIds.put(callId, true);
  }

  boolean isAbandoned(String callId) {
    return abandonedIds.containsKey(callId);
  }
}
