package cobaltseam.service;

import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.resp.EngineCommands;
import cobaltseam.resp.RespParser;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/** One connection to one engine and the attempts on it. Confined to the event-loop thread. */
final class EngineConnection {
  /**
   * The number of most recent call ids of ended attempts that are kept, so that late answers to
   * them are recognized.
   */
  private static final int MAX_ENDED_IDS = 64;

  /**
   * The number of answers that nothing waits for, such as answers to ended or unknown attempts and
   * repeated pages, that an engine may write between two requests or cancellations of this process.
   */
  private static final int MAX_UNSOLICITED_ANSWERS = 256;

  private static final String HEALTH_CHECK_TAG = "probe";

  /** With this many unwritten bytes or more, the connection accepts no further attempt. */
  private static final int MAX_UNWRITTEN_BYTES = 1 << 18;

  final EngineId engine;

  /** The address that the engine had when this connection was opened. */
  final InetSocketAddress address;

  final Timestamp openedAt;

  /** Parses the input of this connection. */
  final RespParser parser = new RespParser();

  /** The attempts on this connection by call id. */
  final Map<String, Attempt> attempts = new HashMap<>();

  /** The call ids of attempts that were written to this connection and have ended, oldest first. */
  private final Deque<String> endedIds = new ArrayDeque<>();

  /** The key of this connection in the slot table of all connections. */
  long key;

  ConnectFuture future;
  Timers.Timer connectTimer;

  /** Starts the next connect after one that failed on this machine; null if there was none. */
  Timers.Timer connectRetryTimer;

  /** The pause before the next connect; null unless the last one failed on this machine. */
  TimeSpan connectBackoff;

  /** Null until the connection is established. */
  IoSession session;

  /** When answers were last received; before that, when the connection was opened. */
  Timestamp receivedAt;

  /** When the connection last became free of attempts. */
  Timestamp idleSince;

  private long writtenMessages;
  private int unsolicitedAnswers;
  private int openHealthChecks;

  EngineConnection(EngineId engine, InetSocketAddress address, Timestamp openedAt) {
    this.engine = engine;
    this.address = address;
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
    return ++writtenMessages;
  }

  /** Starts to count unsolicited answers from zero, as a request or a cancellation is written. */
  void resetUnsolicitedAnswers() {
    unsolicitedAnswers = 0;
  }

  /** Writes a health check. */
  void writeHealthCheck() {
    write(EngineCommands.echo(HEALTH_CHECK_TAG));
    openHealthChecks++;
  }

  /** Ends a health check; returns whether one was open. */
  boolean endHealthCheck() {
    if (openHealthChecks == 0) {
      return false;
    }
    openHealthChecks--;
    return true;
  }

  /**
   * Counts an answer that nothing waits for.
   *
   * @return whether more than {@link #MAX_UNSOLICITED_ANSWERS} were counted since the last reset
   */
  boolean countUnsolicitedAnswer() {
    return ++unsolicitedAnswers > MAX_UNSOLICITED_ANSWERS;
  }

  /**
   * Whether a further attempt may use this connection, as far as this connection remembers: answers
   * to two attempts with the same id can't be distinguished, so a call id may be used on it only
   * once.
   */
  boolean canAccept(String callId, int maxAttempts) {
    return attempts.size() < maxAttempts
        && !attempts.containsKey(callId)
        && !endedIds.contains(callId)
        && (session == null
            || session.isActive() && session.getScheduledWriteBytes() < MAX_UNWRITTEN_BYTES);
  }

  /** Whether this connection waits since its last connect failed for a reason on this machine. */
  boolean hasLocalFailure() {
    return connectBackoff != null;
  }

  /** Records an ended attempt; any further answer to it is then ignored as late. */
  void addEnded(String callId) {
    endedIds.addLast(callId);
    if (endedIds.size() > MAX_ENDED_IDS) {
      endedIds.removeFirst();
    }
  }

  boolean hasEnded(String callId) {
    return endedIds.contains(callId);
  }
}
