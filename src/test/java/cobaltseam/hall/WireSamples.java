package cobaltseam.hall;

import cobaltseam.agreement.Word;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.membership.Ballot;
import cobaltseam.membership.Birth;
import cobaltseam.membership.Change;
import cobaltseam.membership.Condition;
import cobaltseam.membership.Edition;
import cobaltseam.membership.Kept;
import cobaltseam.membership.LeaseWord;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.Message;
import cobaltseam.membership.News;
import cobaltseam.membership.Spoken;
import cobaltseam.membership.View;
import cobaltseam.membership.ViewId;
import cobaltseam.repeats.PurseWord;
import cobaltseam.sharing.Figures;
import cobaltseam.sharing.Shared;
import cobaltseam.sharing.Statement;
import cobaltseam.sharing.Told;
import cobaltseam.sharing.Version;
import cobaltseam.spread.LoanWord;
import cobaltseam.spread.ReportWord;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One message of each kind and the persistent state of a member, with the values that the recorded
 * files in {@code cobaltseam/wire} hold. Maps have one entry, since their order is not fixed.
 */
final class WireSamples {
  private static final Member FIRST =
      new Member(
          new MemberName("a"),
          new Birth(1_796_163_423_780L),
          new InetSocketAddress("127.0.0.1", 1));
  private static final Member SECOND =
      new Member(new MemberName("b"), new Birth(2), new InetSocketAddress("::1", 7947));
  private static final ViewId VIEW_ID = new ViewId(7, 8);
  private static final Message.Teller HEADER =
      new Message.Teller(FIRST, 3, new ViewId(1_796_163_423_780L, 12), true, VIEW_ID);
  private static final Ballot BALLOT = new Ballot(5, FIRST.name(), FIRST.birth());
  private static final Ballot LOWER_BALLOT = new Ballot(4, SECOND.name(), SECOND.birth());
  private static final Edition EDITION = new Edition(3, "ab".repeat(32), FIRST.name());
  private static final Change CHANGE = new Change(List.of(SECOND), List.of(FIRST), EDITION);
  private static final List<MemberName> NAMES = List.of(FIRST.name(), SECOND.name());
  private static final Version VERSION = new Version(new Birth(4), 1L << 41);

  private WireSamples() {}

  /** The samples by the name of the file that holds their bytes. */
  static Map<String, Spoken> messages() {
    Map<String, Spoken> samples = new LinkedHashMap<>();
    addMembership(samples);
    addViewChange(samples);
    addOthers(samples);
    return samples;
  }

  private static void addMembership(Map<String, Spoken> samples) {
    List<News> updates = new java.util.ArrayList<>();
    for (Condition condition : Condition.values()) {
      updates.add(new News(SECOND, 4, condition, FIRST.name()));
    }
    samples.put("Probe", new Message.Probe(HEADER, -9, SECOND.name(), updates));
    samples.put("Relay", new Message.Relay(HEADER, 9, SECOND, updates));
    samples.put("Answer", new Message.Answer(HEADER, 9, true, updates));
    samples.put("Ask", new Message.Ask(HEADER, SECOND.name()));
    samples.put("Part", new Message.Part(HEADER, updates, true));
    samples.put("NameTaken", new Message.NameTaken(HEADER, SECOND));
    samples.put("Found", new Message.Found(HEADER, 1, List.of(FIRST, SECOND)));
    samples.put("Consent", new Message.Consent(HEADER, 1));
  }

  private static void addViewChange(Map<String, Spoken> samples) {
    samples.put("Prepare", new Message.Prepare(HEADER, VIEW_ID, BALLOT, NAMES));
    samples.put(
        "Promise", new Message.Promise(HEADER, VIEW_ID, BALLOT, LOWER_BALLOT, CHANGE, NAMES));
    samples.put("Refuse", new Message.Refuse(HEADER, VIEW_ID, LOWER_BALLOT, BALLOT));
    samples.put("Accept", new Message.Accept(HEADER, VIEW_ID, BALLOT, CHANGE));
    samples.put("Accepted", new Message.Accepted(HEADER, VIEW_ID, BALLOT));
    samples.put("Decided", new Message.Decided(HEADER, VIEW_ID, CHANGE));
    samples.put("AskView", new Message.AskView(HEADER, VIEW_ID, 48));
    samples.put("ViewPart", new Message.ViewPart(HEADER, VIEW_ID, 1, 2, List.of(SECOND), EDITION));
  }

  private static void addOthers(Map<String, Spoken> samples) {
    samples.put("Renew", new LeaseWord.Renew(HEADER, -1));
    samples.put("Granted", new LeaseWord.Granted(HEADER, 1));
    samples.put("Offer", new Word.Offer(HEADER, EDITION, 99));
    samples.put("Checked", new Word.Checked(HEADER, EDITION, "no"));
    samples.put("Want", new Word.Want(HEADER, EDITION.hash(), 4));
    samples.put("Piece", new Word.Piece(HEADER, EDITION.hash(), 1, 3, new byte[] {7, -8}));
    Map<MemberName, Told.Have> known =
        Map.of(SECOND.name(), new Told.Have(VERSION, new TimeSpan(7)));
    samples.put("ShareAsk", new Shared.ShareAsk(HEADER, new Told.Ask(FIRST.name(), -5, known)));
    Statement statement =
        new Statement(
            SECOND.name(), VERSION, new Figures(Map.of("spread.demand", 3L)), new TimeSpan(11));
    Told.Stands standing = new Told.Stands(FIRST.name(), VERSION, new TimeSpan(1));
    samples.put(
        "ShareNewer",
        new Shared.ShareNewer(
            HEADER, new Told.Newer(FIRST.name(), 9, List.of(statement), List.of(standing))));
    samples.put("Borrow", new LoanWord.Borrow(HEADER, 4, 5));
    samples.put("Lent", new LoanWord.Lent(HEADER, 4, 5, 6));
    samples.put("AskReports", new ReportWord.AskReports(HEADER, 8));
    samples.put(
        "Table",
        new ReportWord.Table(
            HEADER, 8, new long[] {1, Long.MAX_VALUE}, new int[] {0, 9}, new int[] {3, 4}));
    samples.put("Beg", new PurseWord.Beg(HEADER, 3, 4));
    samples.put("Give", new PurseWord.Give(HEADER, 3, new long[] {5, 7}, new long[] {8, 9}));
  }

  /** The persistent state of a member in the middle of a view change. */
  static Kept persistentState() {
    return new Kept(
        FIRST,
        3,
        new View(VIEW_ID, List.of(FIRST, SECOND), EDITION),
        BALLOT,
        LOWER_BALLOT,
        CHANGE,
        new Birth(9),
        4,
        Map.of(7L, 8L),
        Map.of(1L, 2L),
        List.of(new byte[] {1, 2, 3}));
  }
}
