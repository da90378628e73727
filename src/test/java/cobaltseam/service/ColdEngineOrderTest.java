package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

/** An engine that has just started, under all that many dispatchers send it together. */
class ColdEngineOrderTest extends ServiceRig {
    private static final int DISPATCHERS = 24;
    private static final double CORES = 4;
    private static final double COLD_FROM = 0.3;
    private static final double WARM_WITHIN_S = 15;
    private static final double FALL_MULTIPLE = 2;
    private static final double FALL_S = 3;
    private static final double WORK_S = 0.1;
    private static final String RULES = "\"rules\":{\"cold_from\":%s,\"warm_within_us\":%d,\"fall_multiple\":%s,\"overload_for_us\":%d}"
            .formatted(COLD_FROM, (long) (WARM_WITHIN_S * 1e6), FALL_MULTIPLE, (long) (FALL_S * 1e6));

    private String configuration(String plain, int number, long bootMs) {
        return plain.replace("\"rules\":{\"cold_from\":0.3}", RULES)
                .replace("\"balancers\":1,\"position\":0", "\"balancers\":" + DISPATCHERS + ",\"position\":" + number)
                .replace("8c1f30d27a5be964", "8c1f30d27a5b" + (1000 + number))
                .replace("\"boot_ms\":0", "\"boot_ms\":" + bootMs);
    }

    /**
     * What an engine may be sent by all together within the time after which it falls, from so many seconds after its
     * start on, and what counts as chance.
     */
    private static double most(double fromS) {
        double meanWarmth = COLD_FROM + (1 - COLD_FROM) * (fromS + FALL_S / 2) / WARM_WITHIN_S;
        double allowed = FALL_MULTIPLE * CORES * meanWarmth * FALL_S / WORK_S;
        return allowed + 2 * Math.sqrt(allowed) + 2;
    }

    /** Each has far more to send than the engine can do: the sum has to keep to the ramp, not each one alone. */
    @Test
    void allDispatchersTogetherKeepToTheRampOfAColdEngine() throws Exception {
        Peer engine = new Peer(true);
        long boot = System.currentTimeMillis();
        long bootNanos = System.nanoTime();
        for (int i = 0; i < DISPATCHERS; i++) {
            int number = i;
            start(plain -> configuration(plain, number, boot), SOCKETS, IDLE_MS, engine.address());
            Client client = new Client();
            thread(() -> askOnAndOn(client, number));
        }
        List<Long> sent = new ArrayList<>();
        long until = System.nanoTime() + (long) (2 * FALL_S * 1e9);
        for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
            Message message = engine.heard.poll(left, TimeUnit.NANOSECONDS);
            if (message != null && message.items().get(0).equals("PULL")) {
                sent.add(System.nanoTime());
                message.answer(message.id(), "200", "pages=1", ROWS);
            }
        }
        assertTrue(sent.size() > DISPATCHERS / 2, "it is sent something: " + sent.size());
        for (int i = 0; i < sent.size(); i++) {
            long from = sent.get(i);
            long within = sent.stream().filter(at -> at >= from && at < from + FALL_S * 1e9).count();
            double most = most((from - bootNanos) / 1e9);
            assertTrue(within <= most, within + " within the time after which it falls, at most " + most);
        }
    }

    private static void askOnAndOn(Client client, int number) throws IOException {
        for (int call = number * 100_000; !client.socket.isClosed(); call++) {
            client.ask(command("look", call, 3000));
        }
    }
}
