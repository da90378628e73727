package cobaltseam.agreement;

import cobaltseam.agreement.ActiveConfiguration.Mode;
import cobaltseam.agreement.AgreementEffect.AgreementEvent;
import cobaltseam.agreement.AgreementMessage.ContentPart;
import cobaltseam.agreement.AgreementMessage.ContentRequest;
import cobaltseam.agreement.AgreementMessage.VersionCheck;
import cobaltseam.agreement.AgreementMessage.VersionOffer;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.ConfigurationVersion;
import cobaltseam.membership.Lease;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.Membership;
import cobaltseam.membership.View;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Which edition of an agreed document this process acts on, such that no two act on editions that
 * contradict each other for longer than stated. It does no I/O; after each thing that {@link
 * Membership} was asked, the caller asks {@link #follow}.
 *
 * <p>Views carry the edition, so that editions are chosen in the one order of views. A process acts
 * on one only under a lease: a majority of its view said, within the stated time by its own clock,
 * that the view had no successor yet. So whoever missed one has stepped back by that time after it
 * was chosen. Whoever learns of an edition acts on a cautious reading between it and those before,
 * until all members have told that they hold it, or every lease on one before must have ended.
 */
public final class ConfigurationAgreement {
  /**
   * What it is set to.
   *
   * @param contradiction for no longer than this two processes act on contradicting editions
   * @param clockRates by which part the rates of two clocks differ at most
   * @param largest bytes of a document
   */
  public record AgreementOptions(TimeSpan contradiction, double clockRates, int largest) {}

  /** What documents mean; no state, the same answer every time. */
  public interface ConfigurationValidator {
    /** Why one can't be acted on here, or null. */
    String check(byte[] content);

    /**
     * Whether to act on the one while another process acts on the other would break what the two
     * promise together.
     */
    boolean contradict(byte[] one, byte[] other);
  }

  /** The part of a lease after which an offer that was not answered is told again. */
  private static final double AGAIN = 0.125;

  /**
   * Leases for which a proposal waits for those who do not answer, and after which it is given up.
   */
  private static final double WAITS = 0.5;

  private static final double GIVES_UP = 10;

  /**
   * More editions that some process may still act on make a process step back in place of reading
   * between them.
   */
  private static final int MOST_BETWEEN = 8;

  private static final int PIECE = 8192;

  /** Documents of no edition here that are held yet: others may ask for them. */
  private static final int MOST_SPARE = 4;

  private record SupersededVersion(ConfigurationVersion edition, Timestamp until) {}

  private static final class Proposal {
    ConfigurationVersion edition;
    Timestamp since, toldAt;
    boolean offered;
    final Map<MemberName, String> answers = new HashMap<>();
  }

  /** A document that comes in pieces. */
  private static final class IncomingContent {
    String hash;
    ByteBuffer bytes;
    Timestamp asked;
    Member of;
  }

  private final AgreementOptions terms;
  private final Membership membership;
  private final Lease lease;
  private final ConfigurationValidator documents;
  private final RandomGenerator chance;
  private final List<AgreementEffect> doings = new ArrayList<>();
  private final Map<String, byte[]> contents = new HashMap<>();
  private final List<SupersededVersion> earlier = new ArrayList<>();

  /** What a first edition is made of, where the view has none. */
  private byte[] own;

  private String ownHash;
  private View held;

  /** Until then others may act on editions that are not known here, or were taken out with one. */
  private Timestamp freshUntil, removedUntil;

  private ActiveConfiguration acting = new ActiveConfiguration(Mode.BACK, List.of());
  private Timestamp actingSince;
  private Proposal proposal;
  private IncomingContent coming;

  /** The document of an edition that was to be accepted and is not here, or null. */
  private String lacking;

  /** The offer that is being fetched or was answered last, and whom to answer. */
  private ConfigurationVersion candidate;

  private Member offeredBy;

  /**
   * @param lease on the view, for as long as {@code contradiction}
   */
  public ConfigurationAgreement(
      AgreementOptions terms,
      Membership membership,
      Lease lease,
      ConfigurationValidator documents,
      RandomGenerator chance) {
    this.terms = terms;
    this.membership = membership;
    this.lease = lease;
    this.documents = documents;
    this.chance = chance;
    membership.accepts(this::has, this::content);
  }

  /**
   * Whether a document is here that is to be voted for; if not, it is fetched, and the vote is
   * asked for again.
   */
  private boolean has(ConfigurationVersion edition) {
    boolean has = contents.containsKey(edition.hash());
    if (!has) {
      lacking = edition.hash();
    }
    return has;
  }

  public static String hash(byte[] content) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java has SHA-256", e);
    }
  }

  // ---- what is asked

  public ActiveConfiguration acting() {
    return acting;
  }

  /** Null before it first acted on anything. */
  public Timestamp actingSince() {
    return actingSince;
  }

  /** How long this process may yet act without hearing from a majority. */
  public TimeSpan leaseLeft(Timestamp now) {
    return lease.left(now);
  }

  /** The content of an edition, or null if it is not here. */
  public byte[] content(ConfigurationVersion edition) {
    return edition == null ? null : contents.get(edition.hash());
  }

  /** Members that have not told that they hold the view. */
  public boolean isHeldByAll() {
    return membership.view() != null && membership.isHeldByAll();
  }

  /** After so long all leases that were given before have ended, whichever clock is the slower. */
  private TimeSpan outlasts() {
    return lease.outlasts();
  }

  /** When {@link #follow} is to be asked again. */
  public Timestamp wake(Timestamp now) {
    // What could not be done by now is tried again then; what comes sooner, such as a lease's end,
    // is not passed over for it.
    boolean pending = proposal != null || coming != null || acting.mode() == Mode.BACK;
    Timestamp wake = now.plus(terms.contradiction.times(pending ? AGAIN : 2 * AGAIN));
    wake = acting.mode() == Mode.BACK ? wake : soonest(wake, lease.until(), now);
    wake = soonest(wake, freshUntil, now);
    for (SupersededVersion e : earlier) {
      wake = soonest(wake, e.until, now);
    }
    return wake;
  }

  private static Timestamp soonest(Timestamp wake, Timestamp other, Timestamp now) {
    return other == null || other.isBefore(now) || !other.isBefore(wake) ? wake : other;
  }

  private List<AgreementEffect> done() {
    List<AgreementEffect> what = List.copyOf(doings);
    doings.clear();
    return what;
  }

  private void tell(Member to, AgreementMessage word) {
    doings.add(new AgreementEffect.Send(to.peerAddress(), word));
  }

  private void note(AgreementEvent event, String detail) {
    doings.add(new AgreementEffect.EventRecorded(event, detail));
  }

  // ---- what follows

  /**
   * What follows from the view and from time; to be asked before anything is taken or sent after a
   * pause.
   */
  public List<AgreementEffect> follow(Timestamp now) {
    View view = membership.view();
    if (view != held) {
      viewed(view, now);
    }
    if (view != null) {
      fetch(view, now);
      first(view, now);
      proposes(view, now);
    }
    act(view, now);
    return done();
  }

  private void viewed(View view, Timestamp now) {
    ConfigurationVersion was = held == null ? null : held.configuration();
    boolean sameLine = view != null && held != null && view.id().lineage() == held.id().lineage();
    long ahead =
        view == null
            ? 0
            : ConfigurationVersion.number(view.configuration()) - ConfigurationVersion.number(was);
    if (view != null && (!sameLine || ahead > 1)) {
      // What others may act on is not all known here.
      freshUntil = now.plus(outlasts());
    }
    if (sameLine && ahead > 0 && was != null) {
      earlier.add(new SupersededVersion(was, now.plus(outlasts())));
    }
    boolean jumped = sameLine && view.id().number() > held.id().number() + 1;
    if (jumped
        || sameLine
            && held.members().stream().anyMatch(m -> !view.contains(m.name(), m.incarnation()))) {
      // Whoever was taken out may act under its lease yet, and tells nothing any more.
      removedUntil = now.plus(outlasts());
    }
    if (!sameLine) {
      earlier.clear();
    }
    held = view;
  }

  // ---- documents

  /** A document that the lasting folder held beside a vote. */
  public void knows(byte[] content) {
    contents.put(hash(content), content);
  }

  private void fetch(View view, Timestamp now) {
    ConfigurationVersion edition = view.configuration();
    String lacks =
        edition != null && !contents.containsKey(edition.hash()) ? edition.hash() : lacking;
    if (lacks != null
        && !contents.containsKey(lacks)
        && (coming == null || !coming.hash.equals(lacks))) {
      comes(lacks, null, now);
    }
    lacking = null;
    if (coming != null
        && now.since(coming.asked).compareTo(terms.contradiction.times(AGAIN)) >= 0) {
      if (coming.of == null || chance.nextInt(4) == 0) {
        // Whoever was asked may be gone, or lack it as well.
        List<Member> others =
            view.members().stream()
                .filter(m -> !m.name().equals(membership.self().name()))
                .toList();
        coming.of = others.isEmpty() ? null : others.get(chance.nextInt(others.size()));
      }
      want(now);
    }
  }

  private void comes(String hash, Member of, Timestamp now) {
    coming = new IncomingContent();
    coming.hash = hash;
    coming.of = of;
    coming.asked = now;
    want(now);
  }

  private void want(Timestamp now) {
    coming.asked = now;
    if (coming.of != null) {
      tell(
          coming.of,
          new ContentRequest(
              membership.teller(),
              coming.hash,
              coming.bytes == null ? 0 : coming.bytes.position()));
    }
  }

  private void came(ContentPart piece, Timestamp now) {
    if (coming == null
        || !coming.hash.equals(piece.hash())
        || piece.contentLength() < 0
        || piece.contentLength() > terms.largest) {
      return;
    }
    if (coming.bytes == null || coming.bytes.capacity() != piece.contentLength()) {
      coming.bytes = ByteBuffer.allocate(piece.contentLength());
    }
    if (piece.index() != coming.bytes.position()
        || piece.bytes().length > coming.bytes.remaining()) {
      return;
    }
    coming.bytes.put(piece.bytes());
    if (coming.bytes.hasRemaining()) {
      coming.of = coming.of == null ? piece.from().member() : coming.of;
      want(now);
      return;
    }
    byte[] whole = coming.bytes.array();
    boolean right = hash(whole).equals(coming.hash);
    String hash = coming.hash;
    coming = null;
    if (right) {
      contents.put(hash, whole);
      answer(now);
    }
  }

  /** Forgets what no edition here is made of. */
  private void prune(View view) {
    Set<String> used = new HashSet<>();
    earlier.forEach(e -> used.add(e.edition.hash()));
    acting.versions().forEach(e -> used.add(e.hash()));
    if (view.configuration() != null) {
      used.add(view.configuration().hash());
    }
    if (candidate != null) {
      used.add(candidate.hash());
    }
    if (proposal != null) {
      used.add(proposal.edition.hash());
    }
    if (membership.accepted() != null) {
      used.add(membership.accepted().hash());
    }
    if (own != null) {
      used.add(ownHash);
    }
    if (contents.size() > used.size() + MOST_SPARE) {
      contents.keySet().retainAll(used);
    }
  }

  // ---- proposals

  /**
   * What a first edition is made of where the view has none, and what is acted on where nothing is
   * agreed yet.
   */
  public void own(byte[] content) {
    own = content;
    ownHash = hash(content);
    contents.put(ownHash, content);
  }

  private void first(View view, Timestamp now) {
    if (view.configuration() == null
        && own != null
        && proposal == null
        && leaseLeft(now).isPositive()
        && view.members().get(0).name().equals(membership.self().name())) {
      begin(own, now);
    }
  }

  /**
   * Proposes a document over the edition that this process holds.
   *
   * @param expect the number of that edition, or below zero for whichever
   * @return why not, or null: then a note tells what became of it
   */
  public String propose(byte[] content, long expect, Timestamp now) {
    View view = membership.view();
    long number = view == null ? 0 : ConfigurationVersion.number(view.configuration());
    if (view == null || !leaseLeft(now).isPositive()) {
      return "no majority is heard";
    }
    if (expect >= 0 && expect != number) {
      return "edition " + number + " is held, not " + expect;
    }
    if (proposal != null) {
      return "another proposal of this process is on its way: " + proposal.edition;
    }
    if (content.length > terms.largest) {
      return content.length + " bytes are more than " + terms.largest;
    }
    String why = documents.check(content);
    if (why != null) {
      return why;
    }
    if (number > 0 && view.configuration().hash().equals(hash(content))) {
      return "it is what edition " + number + " holds";
    }
    begin(content, now);
    return null;
  }

  private void begin(byte[] content, Timestamp now) {
    View view = membership.view();
    Proposal p = new Proposal();
    p.edition =
        new ConfigurationVersion(
            ConfigurationVersion.number(view.configuration()) + 1,
            hash(content),
            membership.self().name());
    p.since = now;
    contents.put(p.edition.hash(), content);
    p.answers.put(membership.self().name(), "");
    proposal = p;
    note(AgreementEvent.PROPOSED, p.edition.toString());
  }

  private void proposes(View view, Timestamp now) {
    Proposal p = proposal;
    if (p == null) {
      return;
    }
    long number = ConfigurationVersion.number(view.configuration());
    if (number >= p.edition.number()) {
      boolean won = p.edition.equals(view.configuration());
      note(
          won ? AgreementEvent.CHOSEN : AgreementEvent.CAME_SECOND,
          won ? p.edition.toString() : p.edition + ", held is " + view.configuration());
      ends();
      return;
    }
    for (Map.Entry<MemberName, String> answer : p.answers.entrySet()) {
      if (!answer.getValue().isEmpty() && !p.offered) {
        note(
            AgreementEvent.REFUSED,
            p.edition + " by " + answer.getKey() + ": " + answer.getValue());
        ends();
        return;
      }
    }
    List<Member> missing =
        view.members().stream().filter(m -> !p.answers.containsKey(m.name())).toList();
    TimeSpan age = now.since(p.since);
    if (age.compareTo(terms.contradiction.times(GIVES_UP)) >= 0) {
      note(
          AgreementEvent.NOT_CHOSEN,
          p.edition
              + (p.offered
                  ? ", it may be yet"
                  : ", no answer of " + missing.stream().map(Member::name).toList()));
      ends();
      return;
    }
    boolean enough = view.members().size() - missing.size() >= view.majority();
    if (!p.offered
        && enough
        && (missing.isEmpty() || age.compareTo(terms.contradiction.times(WAITS)) >= 0)) {
      p.offered = true;
      membership
          .offer(p.edition, now)
          .forEach(a -> doings.add(new AgreementEffect.MembershipEffect(a)));
    }
    if (!p.offered
        && (p.toldAt == null
            || now.since(p.toldAt).compareTo(terms.contradiction.times(AGAIN)) >= 0)) {
      p.toldAt = now;
      missing.forEach(
          m ->
              tell(
                  m,
                  new VersionOffer(
                      membership.teller(), p.edition, contents.get(p.edition.hash()).length)));
    }
  }

  private void ends() {
    proposal = null;
    membership.withdraw();
  }

  /** Answers the offer, once its document is here. */
  private void answer(Timestamp now) {
    byte[] content = candidate == null ? null : contents.get(candidate.hash());
    if (content != null && offeredBy != null) {
      tell(offeredBy, new VersionCheck(membership.teller(), candidate, documents.check(content)));
    }
  }

  // ---- what comes

  /** A word that its carrier found whole, of this fleet and sealed as it should be. */
  public List<AgreementEffect> heard(AgreementMessage word, Timestamp now) {
    View view = membership.view();
    Member from = word.from().member();
    if (!membership.spoke(word, now)
        || view == null
        || !view.contains(from.name(), from.incarnation())) {
      return follow(now);
    }
    if (word instanceof VersionOffer o
        && o.version().number() == ConfigurationVersion.number(view.configuration()) + 1
        && o.contentLength() <= terms.largest) {
      candidate = o.version();
      offeredBy = from;
      if (contents.containsKey(candidate.hash())) {
        answer(now);
      } else if (coming == null || !coming.hash.equals(candidate.hash())) {
        comes(candidate.hash(), from, now);
      }
    } else if (word instanceof VersionCheck c
        && proposal != null
        && c.version().equals(proposal.edition)) {
      proposal.answers.put(from.name(), c.rejection() == null ? "" : c.rejection());
    } else if (word instanceof ContentRequest w && contents.containsKey(w.hash())) {
      byte[] whole = contents.get(w.hash());
      int index = Math.max(0, Math.min(w.index(), whole.length));
      tell(
          from,
          new ContentPart(
              membership.teller(),
              w.hash(),
              index,
              whole.length,
              Arrays.copyOfRange(whole, index, Math.min(whole.length, index + PIECE))));
    } else if (word instanceof ContentPart p) {
      came(p, now);
    }
    return follow(now);
  }

  // ---- what is acted on

  private void act(View view, Timestamp now) {
    earlier.removeIf(e -> !now.isBefore(e.until));
    boolean quiet = removedUntil == null || !now.isBefore(removedUntil);
    if (!earlier.isEmpty() && quiet && membership.isHeldByAll()) {
      earlier.clear();
    }
    ConfigurationVersion edition = view == null ? null : view.configuration();
    boolean unknown = freshUntil != null && now.isBefore(freshUntil);
    String why =
        edition == null
            ? "no edition is agreed"
            : !contents.containsKey(edition.hash())
                ? "the document is not here yet"
                : !leaseLeft(now).isPositive()
                    ? "no majority said in time that the view is the newest"
                    : unknown ? "others may act on editions that are not known here" : null;
    List<ConfigurationVersion> all = new ArrayList<>();
    if (why == null) {
      for (SupersededVersion e : earlier) {
        byte[] content = contents.get(e.edition.hash());
        if (content == null || earlier.size() > MOST_BETWEEN) {
          why = "an edition before it is not known here";
        } else if (documents.contradict(content, contents.get(edition.hash()))) {
          all.add(e.edition);
        }
      }
    }
    if (edition != null) {
      all.add(edition);
    }
    ActiveConfiguration then =
        why != null
            ? new ActiveConfiguration(
                Mode.BACK,
                edition == null || !contents.containsKey(edition.hash())
                    ? List.of()
                    : List.of(edition))
            : new ActiveConfiguration(all.size() > 1 ? Mode.BETWEEN : Mode.PLAIN, all);
    if (!then.equals(acting)) {
      if (then.mode() == Mode.BACK && acting.mode() != Mode.BACK) {
        note(AgreementEvent.STEPPED_BACK, why);
      }
      acting = then;
      actingSince = now;
      doings.add(new AgreementEffect.Activate(then));
    }
    if (view != null) {
      prune(view);
    }
  }
}
