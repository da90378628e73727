package cobaltseam.service;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import cobaltseam.agreement.Acting;
import cobaltseam.agreement.Doing;
import cobaltseam.agreement.Word;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.Moment;
import cobaltseam.dispatch.Span;
import cobaltseam.hall.KeptCodec;
import cobaltseam.hall.MessageCodec;
import cobaltseam.hall.MessageCodec.Refusal;
import cobaltseam.hall.PeerSocket;
import cobaltseam.log.Field;
import cobaltseam.membership.Act;
import cobaltseam.membership.Birth;
import cobaltseam.membership.Kept;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.Membership;
import cobaltseam.membership.Message;
import cobaltseam.membership.Spoken;
import cobaltseam.membership.Standing;
import cobaltseam.membership.Terms;
import cobaltseam.membership.View;
import cobaltseam.membership.ViewId;
import cobaltseam.service.Counters.Count;
import cobaltseam.setup.Setup;
import cobaltseam.store.WholeFile;
import cobaltseam.store.Writer;

/**
 * This dispatcher among those of its fleet: carries messages between the socket and {@link Membership}, and tells the module over
 * how many dispatchers the engines are shared. A fault of it ends it and nothing else: the service goes on as one without
 * it, by the number of dispatchers that its settings name.
 */
final class Members {
    private static final System.Logger LOG = System.getLogger(Members.class.getName());
    private static final int US_PER_MS = 1000;

    private final Setup.Fleet told;
    /** The view that an operator had this dispatcher found another line for, or null. */
    private String foundedAnew;
    private final int dispatchersTold;
    private final Clients clients;
    private final Commands commands;
    /** Whether mastership tells the module how many dispatchers share the engines; membership then does not. */
    private final boolean masteredElsewhere;
    private final Inbox inbox;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final BoundedLog log;
    private final MessageCodec codec;
    private final PeerSocket socket;
    private final Membership membership;
    private final Map<Refusal, Long> refused = new EnumMap<>(Refusal.class);
    private Deadlines.Deadline wake, falls;
    private Moment dueAt;
    private Standing standing = Standing.NONE;
    private int sharedOver;
    private boolean broken, open;
    /** What the lasting folder held at the start, or null. */
    private final Kept former;
    /** Writes the lasting folder; null where there is none, and then why. */
    private final Writer writer;
    /** The agreed settings, where they are on; else null. */
    private Agreed agreed;
    private String folderState = "";

    Members(Setup.Fleet told, Installation installation, Commands commands, Clients clients, boolean masteredElsewhere, Inbox inbox,
            Clock clock, Deadlines deadlines, Counters counters) {
        this.told = told;
        this.commands = commands;
        this.clients = clients;
        this.masteredElsewhere = masteredElsewhere;
        this.inbox = inbox;
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        log = new BoundedLog(LOG, clock);
        dispatchersTold = installation.deployment().dispatchers();
        sharedOver = dispatchersTold;
        Span longest = installation.deployment().profiles().stream().map(Deployment.Profile::clientTimeout)
                .max(Span::compareTo).orElse(Span.ZERO);
        codec = new MessageCodec(told.fleet(), told.sealing() == null ? null : told.sealing().keys(),
                told.sealing() == null ? 0 : told.sealing().writeKey());
        socket = new PeerSocket(told.listen(), this::came);
        Terms terms = new Terms(told.period(), told.patience(), told.helpers(),
                told.founders().stream().map(MemberName::new).toList(), told.seeds(), longest);
        // Later than any earlier process here, if clocks are right; if not, peers say so and it is raised.
        Birth birth = new Birth(Math.max(1, System.currentTimeMillis()));
        Member self = new Member(new MemberName(installation.name()), birth, told.advertise());
        SplittableRandom chance = new SplittableRandom(installation.seed() ^ System.nanoTime());
        WholeFile file = folder();
        former = file == null ? null : former(file);
        writer = folderState.isEmpty() ? new Writer(file, this::stored, this::notStored) : null;
        membership = writer == null ? new Membership(terms, self, chance) : Membership.lasting(terms, self, former, chance);
        clients.shows("members", this::rows);
    }

    // ---- the lasting folder

    /** The folder, where there is one that can be used; else why it is not, and membership goes on without. */
    private WholeFile folder() {
        if (told.folder() == null) {
            folderState = "none";
            return null;
        }
        try {
            return WholeFile.open(told.folder(), KeptCodec.NAME, KeptCodec.FORMAT);
        } catch (IOException e) {
            withoutFolder(String.valueOf(e.getMessage()));
            return null;
        }
    }

    private Kept former(WholeFile file) {
        try {
            WholeFile.Reading reading = file.read();
            Kept former = reading.value() == null ? null : KeptCodec.read(reading.value()).orElse(null);
            if (reading.found() == WholeFile.Found.LATER) {
                withoutFolder("written by a later program; it is left as it is");
            } else if (reading.found() == WholeFile.Found.BROKEN || reading.value() != null && former == null) {
                LOG.log(Level.WARNING, "what {0} held is not whole: this process is another member", Field.of("folder", told.folder()),
                        Field.event("membership.folder_broken"));
            }
            return former;
        } catch (IOException e) {
            withoutFolder(String.valueOf(e.getMessage()));
            return null;
        }
    }

    private void stored(long number) {
        inbox.post(null, () -> act(() -> membership.kept(number)));
    }

    private void notStored(String why) {
        inbox.post(null, () -> act(() -> membership.notKept(why, clock.now())));
    }

    private void withoutFolder(String why) {
        folderState = why;
        LOG.log(Level.WARNING, "membership goes on without the folder {0}: {1}", Field.of("folder", told.folder()),
                Field.of("reason", why), Field.event("membership.folder_refused"));
    }

    // ---- from the start to the end

    void open() throws IOException {
        socket.open();
        open = true;
        LOG.log(Level.INFO, "member {0}, birth {1}, of fleet {2} on {3}", Field.of("member", membership.self().name()),
                Field.of("birth", membership.self().birth()), Field.of("fleet", told.fleet()), Field.of("address", told.advertise()),
                Field.event("membership.opened"));
        act(() -> membership.start(clock.now()));
    }

    /** Tells the others that it leaves, so that no suspicion follows. */
    void leave() {
        act(() -> membership.leave(clock.now()));
    }

    void close() {
        if (open) {
            socket.close();
        }
        if (writer != null) {
            writer.close();
        }
    }

    Membership membership() {
        return membership;
    }

    /** Whether a fault has ended it. */
    boolean isEnded() {
        return broken;
    }

    /** Proposes settings to the fleet. */
    void propose(byte[] document) {
        act(() -> {
            agreed.propose(document, clock.now());
            return List.of();
        });
    }

    /** What the own file says now: an operator's founding is heeded, all else waits for the next start. */
    void renewed(Setup.Fleet now) {
        boolean anew = now.foundAnew() != null && !now.foundAnew().equals(foundedAnew);
        if (!now.fixed().equals(told.fixed())) {
            LOG.log(Level.WARNING, "of [membership] only found_anew is read before the next start", Field.event("configuration.partly"));
        }
        if (anew) {
            act(() -> membership.foundAnew(ViewId.read(now.foundAnew()), clock.now()));
            // What was refused may be said again in the same words.
            boolean founded = membership.view() != null && membership.view().id().line() == membership.self().birth().value();
            foundedAnew = founded ? now.foundAnew() : null;
        }
    }

    // ---- what happens

    private void came(byte[] bytes) {
        inbox.post(null, () -> {
            socket.heard(bytes);
            if (!broken) {
                heard(bytes);
            }
        });
    }

    private void heard(byte[] bytes) {
        MessageCodec.Reading reading = codec.read(bytes);
        if (reading.refusal() != null) {
            counters.add(Count.MEMBERSHIP_DATAGRAMS_REFUSED);
            refused.merge(reading.refusal(), 1L, Long::sum);
            log.warn("a datagram to {0} is refused: {1}", Field.of("address", told.listen()),
                    Field.of("reason", reading.refusal().label()), Field.event("membership.refused"));
            return;
        }
        counters.add(Count.MEMBERSHIP_DATAGRAMS_TAKEN);
        if (reading.message() instanceof Message message) {
            act(() -> membership.heard(message, clock.now()));
        } else if (reading.message() instanceof Word word && agreed != null) {
            act(() -> {
                agree(agreed.heard(word, clock.now()));
                return List.of();
            });
        }
    }

    /** Has the fleet agree on the settings of decisions, from the start on. */
    void agrees(Agreed on) {
        agreed = on;
        if (former != null) {
            agreed.knows(former.documents());
        }
        clients.shows("agreement", () -> agreed.rows(clock.now()));
    }

    private void agree(List<Doing> doings) {
        for (Doing doing : doings) {
            if (doing instanceof Doing.Tell tell) {
                tell(tell.to(), tell.word());
            } else if (doing instanceof Doing.Of of) {
                carryOut(of.act());
            } else if (doing instanceof Doing.Acts acts) {
                agreed.on(acts.on());
            } else if (doing instanceof Doing.Noted noted) {
                agreed.noted(noted);
            }
        }
    }

    /** Before anything else is heard: whether this process stood still, for then its view may be an old one, and its lease over. */
    void look() {
        if (!broken && agreed != null && agreed.isOver(clock.now())) {
            act(List::of);
        }
        if (!broken && dueAt != null && clock.now().since(dueAt).compareTo(told.period().times(0.5)) > 0) {
            due();
        }
    }

    private void due() {
        counters.add(Count.MEMBERSHIP_DATAGRAMS_DROPPED, socket.tooMany());
        act(() -> membership.due(clock.now()));
    }

    // ---- what follows

    /** Asks membership, and does what it says; a fault of it ends membership and nothing else. */
    private void act(Supplier<List<Act>> asked) {
        if (broken) {
            return;
        }
        try {
            asked.get().forEach(this::carryOut);
            Moment now = clock.now();
            if (agreed != null) {
                agree(agreed.follow(now));
            }
            deadlines.cancel(wake);
            dueAt = membership.wake(now);
            if (agreed != null && dueAt != null) {
                Moment other = agreed.wake(now);
                dueAt = other.before(dueAt) ? other : dueAt;
            }
            wake = dueAt == null ? null : deadlines.set(dueAt, this::due);
            stands();
            shared(now);
        } catch (RuntimeException e) {
            fault(e);
        }
    }

    private void carryOut(Act act) {
        if (act instanceof Act.Tell tell) {
            tell(tell.to(), tell.message());
        } else if (act instanceof Act.Keep keep) {
            counters.add(Count.MEMBERSHIP_KEPT);
            writer.give(keep.number(), () -> KeptCodec.write(keep.what()));
        } else if (act instanceof Act.Installed installed) {
            counters.add(Count.MEMBERSHIP_VIEWS);
            View view = installed.view();
            LOG.log(Level.INFO, "view {0} with {1} members: {2}", Field.of("view", view == null ? "none" : view.id()),
                    Field.of("count", view == null ? 0 : view.members().size()),
                    Field.of("members", view == null ? "" : view.members().stream().map(m -> m.name() + "#" + m.birth())
                            .collect(Collectors.joining(" "))),
                    Field.of("birth", membership.self().birth()), Field.event("membership.view"));
        } else if (act instanceof Act.Noted noted) {
            counters.add(switch (noted.event()) {
                case SUSPECTED -> Count.MEMBERSHIP_SUSPECTED;
                case STOOD_STILL -> Count.MEMBERSHIP_STOOD_STILL;
                default -> Count.MEMBERSHIP_NOTED;
            });
            log.warn("{0}: {1}, {2}", Field.of("member", noted.who()), Field.of("what", noted.event().label()),
                    Field.of("detail", noted.detail()), Field.event("membership." + noted.event().label()));
        }
    }

    private void tell(InetSocketAddress to, Spoken message) {
        byte[] bytes = codec.write(message);
        try {
            if (bytes == null) {
                throw new IOException("longer than " + MessageCodec.LARGEST + " bytes");
            }
            socket.send(bytes, to);
            counters.add(Count.MEMBERSHIP_DATAGRAMS_SENT);
        } catch (IOException | RuntimeException e) {
            counters.add(Count.MEMBERSHIP_DATAGRAMS_UNSENT);
            log.warn("no datagram to {0}: {1}", Field.of("peer", to), Field.of("reason", e.getMessage()),
                    Field.event("membership.unsent"));
        }
    }

    private void stands() {
        Standing now = membership.standing();
        if (now != standing) {
            standing = now;
            LOG.log(Level.INFO, "standing: {0}", Field.of("standing", now.label()), Field.event("membership.standing"));
        }
    }

    /** Tells the module over how many dispatchers engines are shared; without a view, over as many as the settings name. */
    private void shared(Moment now) {
        int over = membership.carriers(now);
        over = over == 0 ? dispatchersTold : over;
        if (over != sharedOver) {
            sharedOver = over;
            if (!masteredElsewhere) {
                commands.sharedOver(over);
            }
        }
        deadlines.cancel(falls);
        Moment at = membership.carriersFallAt();
        falls = at == null ? null : deadlines.set(at, () -> act(List::of));
    }

    /** Ends membership for good; the service goes on as one that has none. */
    private void fault(RuntimeException e) {
        counters.add(Count.FAULTS);
        LOG.log(Level.ERROR, "a fault in membership, which ends here until the next start", e);
        broken = true;
        if (agreed != null) {
            agreed.on(new Acting(Acting.Mode.BACK, List.of()));
        }
        deadlines.cancel(wake);
        deadlines.cancel(falls);
        close();
        if (!masteredElsewhere && sharedOver != dispatchersTold) {
            commands.sharedOver(dispatchersTold);
        }
    }

    // ---- what is asked

    /** SHOW cobaltseam.members. */
    private List<String[]> rows() {
        Moment now = clock.now();
        List<String[]> rows = new ArrayList<>();
        View view = membership.view();
        rows.add(new String[] {"membership", broken ? "ended by a fault" : "on"});
        rows.add(new String[] {"self", membership.self().name() + " birth " + membership.self().birth() + " at " + told.advertise()});
        rows.add(new String[] {"standing", membership.standing().label()});
        rows.add(new String[] {"view", view == null ? "none" : view.id() + ", " + view.members().size() + " members, since "
                + ms(now, membership.viewSince()) + " ms"});
        rows.add(new String[] {"engines_shared_over", Integer.toString(sharedOver) + (masteredElsewhere ? ", by mastership" : "")});
        rows.add(new String[] {"own_health", membership.health() + " (0 is well)"});
        rows.add(new String[] {"folder", told.folder() == null ? "none" : told.folder() + (membership.isLasting() ? "" : ", not used: "
                + (folderState.isEmpty() ? "lost while it ran" : folderState))});
        rows.add(new String[] {"bears_ms", Long.toString(membership.bears().us() / US_PER_MS)});
        for (Membership.Seen seen : membership.seen()) {
            boolean held = view != null && view.holds(seen.member().name(), seen.member().birth());
            rows.add(new String[] {"member_" + seen.member().name(), seen.condition().name().toLowerCase(Locale.ROOT) + " since "
                    + ms(now, seen.since()) + " ms, " + (held ? "in the view" : "not in the view") + ", birth "
                    + seen.member().birth() + " incarnation " + seen.incarnation() + ", heard "
                    + (seen.heard() == null ? "never" : ms(now, seen.heard()) + " ms ago") + ", round trip "
                    + (seen.roundTrip() == null ? "unknown" : seen.roundTrip().us() + " us")
                    + (seen.by().isEmpty() ? "" : ", suspected by " + seen.by())});
        }
        refused.forEach((why, times) -> rows.add(new String[] {"datagrams_refused_" + why.label(), Long.toString(times)}));
        return rows;
    }

    private static long ms(Moment now, Moment then) {
        return now.since(then).us() / US_PER_MS;
    }
}
