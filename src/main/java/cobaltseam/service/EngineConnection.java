package cobaltseam.service;

import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.Timestamp;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.session.IoSession;

/** One connection to one engine, and the sends that are out on it. */
final class EngineConnection {
  /** Ids of ended sends that are remembered, so that late answers are known. */
  private static final int REMEMBERED = 256;

  /**
   * Answers that nobody asked for which an engine may write between two sends on one connection.
   */
  private static final int MOST_UNASKED = 256;

  /** What may wait to be written before no more is sent this way. */
  private static final int MOST_WAITING = 1 << 18;

  final EngineId engine;
  final Timestamp opened;
  final Map<String, Attempt> sends = new HashMap<>();
  private final Map<String, Boolean> ended =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > REMEMBERED;
        }
      };
  long key;
  ConnectFuture future;
  Timers.Timer connectTimeout;

  /** Null until it is up. */
  IoSession session;

  Timestamp heard;
  Timestamp idleSince;
  private long written;
  private int unasked;

  EngineConnection(EngineId engine, Timestamp opened) {
    this.engine = engine;
    this.opened = opened;
    heard = opened;
    idleSince = opened;
  }

  /** Writes and counts; the count at which this has gone out whole. */
  long write(byte[] bytes) {
    session.write(IoBuffer.wrap(bytes));
    unasked = 0;
    return ++written;
  }

  /**
   * Counts an answer that nobody asked for; whether there are so many that they seem to have no
   * end.
   */
  boolean isFlooded() {
    return ++unasked > MOST_UNASKED;
  }

  /**
   * Whether a further send of this id may go this way: each id only once, or its answers were mixed
   * up.
   */
  boolean takes(String id, int most) {
    return sends.size() < most
        && !sends.containsKey(id)
        && !ended.containsKey(id)
        && (session == null
            || session.isActive() && session.getScheduledWriteBytes() < MOST_WAITING);
  }

  void remember(String id) {
    ended.put(id, true);
  }

  boolean remembers(String id) {
    return ended.containsKey(id);
  }
}
