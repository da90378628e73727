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
import com.fasterxml.jackson.databind.PropertyName;
import com.fasterxml.jackson.databind.cfg.MapperConfig;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.AnnotatedField;
import com.fasterxml.jackson.databind.introspect.AnnotatedMethod;
import com.fasterxml.jackson.databind.introspect.AnnotatedParameter;
import com.fasterxml.jackson.databind.introspect.NopAnnotationIntrospector;
import java.lang.reflect.RecordComponent;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The names that messages between members and the persistent state of a member have as bytes. They
 * are written down here and not taken from the code, so that a class, a record component or an enum
 * constant can be renamed without a change to the wire or to stored folders.
 *
 * <p>The names of a record stand in the order of its components. A new component gets its name at
 * the end of its row; a name that has been released never changes.
 */
final class WireNames extends NopAnnotationIntrospector {
  private static final long serialVersionUID = 1L;

  /** The kind of each message. */
  private static final Map<Class<? extends Spoken>, String> KINDS = new HashMap<>();

  /** The field names of each record, in the order of its components. */
  private static final Map<Class<? extends Record>, List<String>> FIELDS = new HashMap<>();

  private static final Map<Condition, String> CONDITIONS =
      Map.of(
          Condition.ALIVE, "ALIVE",
          Condition.SUSPECT, "SUSPECT",
          Condition.DEAD, "DEAD",
          Condition.LEFT, "LEFT");

  static {
    nameMembershipMessages();
    nameLeaseAndAgreementMessages();
    nameSharingMessages();
    nameCapacityAndBudgetMessages();
    nameValues();
  }

  private static final Map<String, Class<? extends Spoken>> CLASSES = classesByKind();

  private static void nameMembershipMessages() {
    message("Probe", Message.Probe.class, "from", "id", "to", "news");
    message("Relay", Message.Relay.class, "from", "id", "target", "news");
    message("Answer", Message.Answer.class, "from", "id", "reached", "news");
    message("Ask", Message.Ask.class, "from", "after");
    message("Part", Message.Part.class, "from", "state", "more");
    message("NameTaken", Message.NameTaken.class, "from", "holder");
    message("Found", Message.Found.class, "from", "attempt", "members");
    message("Consent", Message.Consent.class, "from", "attempt");
    message("Prepare", Message.Prepare.class, "from", "of", "ballot", "out");
    message("Promise", Message.Promise.class, "from", "of", "ballot", "accepted", "value", "stay");
    message("Refuse", Message.Refuse.class, "from", "of", "ballot", "promised");
    message("Accept", Message.Accept.class, "from", "of", "ballot", "value");
    message("Accepted", Message.Accepted.class, "from", "of", "ballot");
    message("Decided", Message.Decided.class, "from", "of", "value");
    message("AskView", Message.AskView.class, "from", "of", "index");
    message(
        "ViewPart", Message.ViewPart.class, "from", "of", "index", "size", "members", "edition");
  }

  private static void nameLeaseAndAgreementMessages() {
    message("Renew", LeaseWord.Renew.class, "from", "id");
    message("Granted", LeaseWord.Granted.class, "from", "id");
    message("Offer", Word.Offer.class, "from", "edition", "size");
    message("Checked", Word.Checked.class, "from", "edition", "why");
    message("Want", Word.Want.class, "from", "hash", "index");
    message("Piece", Word.Piece.class, "from", "hash", "index", "size", "bytes");
  }

  private static void nameSharingMessages() {
    message("ShareAsk", Shared.ShareAsk.class, "from", "told");
    message("ShareNewer", Shared.ShareNewer.class, "from", "told");
    fields(Told.Ask.class, "from", "id", "known");
    fields(Told.Newer.class, "from", "id", "statements", "standing");
    fields(Told.Have.class, "version", "age");
    fields(Told.Stands.class, "of", "version", "age");
    fields(Statement.class, "of", "version", "figures", "age");
    fields(Version.class, "birth", "number");
    fields(Figures.class, "byName");
    fields(TimeSpan.class, "us");
  }

  private static void nameCapacityAndBudgetMessages() {
    message("Borrow", LoanWord.Borrow.class, "from", "id", "amount");
    message("Lent", LoanWord.Lent.class, "from", "id", "amount", "lastsUs");
    message("AskReports", ReportWord.AskReports.class, "from", "id");
    message("Table", ReportWord.Table.class, "from", "id", "engines", "inHand", "agesMs");
    message("Beg", PurseWord.Beg.class, "from", "id", "amount");
    message("Give", PurseWord.Give.class, "from", "id", "amounts", "lastsUs");
  }

  private static void nameValues() {
    fields(Message.Teller.class, "member", "incarnation", "view", "majority", "ended");
    fields(MemberName.class, "value");
    fields(Birth.class, "value");
    fields(Member.class, "name", "birth", "address");
    fields(News.class, "member", "incarnation", "condition", "by");
    fields(ViewId.class, "line", "number");
    fields(View.class, "id", "members", "edition");
    fields(Ballot.class, "round", "by", "birth");
    fields(Change.class, "out", "in", "edition");
    fields(Edition.class, "number", "hash", "by");
    fields(
        Kept.class,
        "self",
        "starts",
        "view",
        "promised",
        "accepted",
        "value",
        "vowedTo",
        "vowedAttempt",
        "left",
        "ended",
        "documents");
  }

  private static <T extends Record & Spoken> void message(
      String kind, Class<T> type, String... names) {
    KINDS.put(type, kind);
    fields(type, names);
  }

  private static void fields(Class<? extends Record> type, String... names) {
    if (type.getRecordComponents().length != names.length) {
      throw new IllegalStateException("each component of " + type.getName() + " needs a name");
    }
    FIELDS.put(type, List.of(names));
  }

  private static Map<String, Class<? extends Spoken>> classesByKind() {
    Map<String, Class<? extends Spoken>> classes = new HashMap<>();
    KINDS.forEach((type, kind) -> classes.put(kind, type));
    return Map.copyOf(classes);
  }

  /** The kind of a message as the wire has it. */
  static String kindOf(Spoken message) {
    return KINDS.get(message.getClass());
  }

  /** The class of a kind, or null if this build does not know the kind. */
  static Class<? extends Spoken> classOf(String kind) {
    return CLASSES.get(kind);
  }

  @Override
  public PropertyName findNameForSerialization(Annotated annotated) {
    if (annotated instanceof AnnotatedField field) {
      return nameOf(field.getDeclaringClass(), field.getName());
    }
    if (annotated instanceof AnnotatedMethod method && method.getParameterCount() == 0) {
      return nameOf(method.getDeclaringClass(), method.getName());
    }
    return null;
  }

  @Override
  public PropertyName findNameForDeserialization(Annotated annotated) {
    if (!(annotated instanceof AnnotatedParameter parameter)) {
      return findNameForSerialization(annotated);
    }
    List<String> names = FIELDS.get(parameter.getDeclaringClass());
    boolean canonical = names != null && parameter.getOwner().getParameterCount() == names.size();
    return canonical ? PropertyName.construct(names.get(parameter.getIndex())) : null;
  }

  @Override
  public String[] findEnumValues(
      MapperConfig<?> config, AnnotatedClass type, Enum<?>[] constants, String[] names) {
    for (int i = 0; i < constants.length; i++) {
      names[i] = CONDITIONS.getOrDefault(constants[i], names[i]);
    }
    return names;
  }

  private static PropertyName nameOf(Class<?> type, String component) {
    if (!type.isRecord()) {
      return null;
    }
    List<String> names = FIELDS.get(type);
    RecordComponent[] components = type.getRecordComponents();
    for (int i = 0; i < components.length; i++) {
      if (components[i].getName().equals(component)) {
        if (names == null) {
          throw new IllegalStateException("no names as bytes are set for " + type.getName());
        }
        return PropertyName.construct(names.get(i));
      }
    }
    return null;
  }
}
