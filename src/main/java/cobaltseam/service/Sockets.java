package cobaltseam.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;

import org.apache.mina.transport.socket.nio.NioProcessor;

/**
 * The I/O thread of all sockets. It can be asked to read all that has come first: what looks silent to the
 * thread that owns the state may have spoken, with the bytes still in the machine's buffers.
 */
final class Sockets extends NioProcessor {
    private static final int AT_ONCE_MS = 1;

    private final Queue<Runnable> asked = new ConcurrentLinkedQueue<>();
    /** Asked for before the last look at the sockets; the I/O thread's own. */
    private List<Runnable> looked = List.of();

    Sockets(Executor threads) {
        super(threads);
    }

    /** Runs a task on the I/O thread, once all that had come by now is read and handed over. */
    void afterReading(Runnable task) {
        asked.add(task);
        wakeup();
    }

    /** Everything selected before this call is read. */
    @Override
    protected int select(long timeout) throws Exception {
        List<Runnable> due = looked;
        looked = new ArrayList<>();
        for (Runnable task = asked.poll(); task != null; task = asked.poll()) {
            looked.add(task);
        }
        due.forEach(Runnable::run);
        if (looked.isEmpty()) {
            return super.select(timeout);
        }
        int selected = super.select(AT_ONCE_MS);
        // Or the loop would take a look that found nothing at once for a broken selector.
        wakeupCalled.set(true);
        return selected;
    }
}
