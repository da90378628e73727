package cobaltseam.service;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import cobaltseam.dispatch.Command;
import cobaltseam.dispatch.CommandId;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.Dispatcher;
import cobaltseam.dispatch.Moment;
import cobaltseam.dispatch.Outcome;
import cobaltseam.dispatch.Pause;
import cobaltseam.dispatch.Placement;
import cobaltseam.dispatch.Span;
import cobaltseam.postgres.ClientParser;
import cobaltseam.postgres.Replies;
import cobaltseam.postgres.StatementScanner;
import cobaltseam.resp.EngineAnswer;
import cobaltseam.resp.EngineCommands;
import cobaltseam.resp.RespParser;

/**
 * Runs the code of the busiest paths before clients come, so that it is loaded by then. What it decides
 * goes nowhere: it asks a module of its own, which no traffic reaches, on a clock that it makes up.
 */
final class Warmup {
    /** Commands played: enough to load every class; more would compile more but hold up a restart. */
    private static final int COMMANDS = 100;
    private static final Span STEP = new Span(10_000);
    private static final int OPEN = 8;

    private final Dispatcher dispatcher;
    private final Deque<Placed> out = new ArrayDeque<>();
    private Moment now = new Moment(1);

    private record Placed(Command command, Placement at, Moment since) {
    }

    private Warmup(Deployment deployment) {
        dispatcher = new Dispatcher(deployment, 0);
    }

    static void run(Installation told) {
        List<Deployment.Profile> profiles = told.deployment().profiles();
        Warmup warmup = new Warmup(told.deployment());
        told.known().forEach(r -> warmup.dispatcher.listed(r.list(), r.whole(), warmup.now));
        for (int i = 0; i < COMMANDS && !profiles.isEmpty(); i++) {
            warmup.command(profiles.get(i % profiles.size()), i);
            wires(i);
        }
    }

    private void command(Deployment.Profile profile, int i) {
        now = now.plus(STEP);
        Command command = new Command(new CommandId(Integer.toString(i)), profile.id(), null, null,
                now.plus(profile.clientTimeout()), STEP, null, 1);
        took(command, dispatcher.place(command, now));
        if (out.size() > OPEN) {
            Placed first = out.removeFirst();
            dispatcher.after(new Outcome(first.command().id(), 0, first.at().engine(), Outcome.Ending.ANSWERED,
                    now.since(first.since()), true, new Span(-1), -1, 0, OPEN), now);
        }
        Pause pause = dispatcher.pause(now);
        for (int asked = 0; asked < OPEN && pause.span() != null && !pause.span().isPositive(); asked++) {
            if (pause.command() != null && pause.callOff() < 0) {
                took(pause.command(), dispatcher.place(pause.command(), now));
            }
            pause = dispatcher.pause(now);
        }
    }

    private void took(Command command, Placement placement) {
        if (placement.verdict() == Placement.Verdict.SEND) {
            out.addLast(new Placed(command, placement, now));
        }
    }

    private static void wires(int i) {
        String call = Long.toHexString(Long.MIN_VALUE | i);
        byte[] text = ("/* op=a,call=" + call + ",ttl=1500,work=1.5,space=2 */ SELECT 'x', count(*) "
                + "FROM s_1.t WHERE a = 'b' GROUP BY c").getBytes(StandardCharsets.UTF_8);
        try {
            StatementScanner.scan(text);
        } catch (StatementScanner.Unusable e) {
            throw new IllegalStateException(e);
        }
        ByteBuffer query = ByteBuffer.allocate(8 + 6 + text.length).putInt(8).putInt(3 << 16);
        query.put((byte) 'Q').putInt(text.length + 5).put(text).put((byte) 0).flip();
        new ClientParser().take(query, m -> { });
        byte[] rows = "2026-01-01\t12\tnote\n".repeat(OPEN).getBytes(StandardCharsets.UTF_8);
        new RespParser().take(ByteBuffer.wrap(EngineCommands.pull(call, "a", i, rows)), EngineAnswer::of);
        new Replies().columns(List.of("a", "b", "c")).row(rows, 0, rows.length / OPEN - 1).complete("SELECT 1")
                .ready().bytes();
    }
}
