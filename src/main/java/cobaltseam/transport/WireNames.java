package cobaltseam.transport;

import cobaltseam.agreement.AgreementMessage;
import cobaltseam.capacity.CapacityLeaseMessage;
import cobaltseam.capacity.LoadReportMessage;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.membership.Ballot;
import cobaltseam.membership.ConfigurationVersion;
import cobaltseam.membership.Incarnation;
import cobaltseam.membership.LeaseMessage;
import cobaltseam.membership.Member;
import cobaltseam.membership.MemberCondition;
import cobaltseam.membership.MemberName;
import cobaltseam.membership.MemberUpdate;
import cobaltseam.membership.MembershipMessage;
import cobaltseam.membership.PeerMessage;
import cobaltseam.membership.PersistentState;
import cobaltseam.membership.View;
import cobaltseam.membership.ViewDelta;
import cobaltseam.membership.ViewId;
import cobaltseam.retrybudget.RetryBudgetMessage;
import cobaltseam.sharing.FiguresUpdate;
import cobaltseam.sharing.FiguresVersion;
import cobaltseam.sharing.MemberFigures;
import cobaltseam.sharing.SharingMessage;
import cobaltseam.sharing.SharingPeerMessage;
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
 * The encoded names of message kinds, record components and enum constants, in messages between
 * members and in the persistent state of a member. They are listed here instead of being derived
 * from the code, so that a class, a record component or an enum constant can be renamed without a
 * change to the wire format or to stored state.
 *
 * <p>The names of a record are listed in the order of its components. A new component is added at
 * the end of the record, and its name at the end of the list; a name that has been released never
 * changes.
 */
final class WireNames extends NopAnnotationIntrospector {
  private static final long serialVersionUID = 1L;

  /** The encoded kind of each message class. */
  private static final Map<Class<? extends PeerMessage>, String> KINDS_BY_CLASS = new HashMap<>();

  /** The encoded field names of each record, in the order of its components. */
  private static final Map<Class<? extends Record>, List<String>> FIELDS_BY_CLASS = new HashMap<>();

  /** The encoded name of each member condition. */
  private static final Map<MemberCondition, String> CONDITIONS =
      Map.of(
          MemberCondition.ALIVE, "ALIVE",
          MemberCondition.SUSPECT, "SUSPECT",
          MemberCondition.DEAD, "DEAD",
          MemberCondition.LEFT, "LEFT");

  static {
    nameMembershipMessages();
    nameLeaseAndAgreementMessages();
    nameSharingMessages();
    nameCapacityAndBudgetMessages();
    nameValues();
  }

  private static final Map<String, Class<? extends PeerMessage>> CLASSES_BY_KIND = classesByKind();

  private static void nameMembershipMessages() {
    message("Probe", MembershipMessage.HealthCheck.class, "from", "id", "to", "news");
    message("Relay", MembershipMessage.HealthCheckRequest.class, "from", "id", "target", "news");
    message("Answer", MembershipMessage.HealthCheckReply.class, "from", "id", "reached", "news");
    message("Ask", MembershipMessage.StateRequest.class, "from", "after");
    message("Part", MembershipMessage.StatePart.class, "from", "state", "more");
    message("NameTaken", MembershipMessage.NameTaken.class, "from", "holder");
    message("Found", MembershipMessage.BootstrapRequest.class, "from", "attempt", "members");
    message("Consent", MembershipMessage.BootstrapConsent.class, "from", "attempt");
    message("Prepare", MembershipMessage.Prepare.class, "from", "of", "ballot", "out");
    message(
        "Promise",
        MembershipMessage.Promise.class,
        "from",
        "of",
        "ballot",
        "accepted",
        "value",
        "stay");
    message("Refuse", MembershipMessage.Reject.class, "from", "of", "ballot", "promised");
    message("Accept", MembershipMessage.Accept.class, "from", "of", "ballot", "value");
    message("Accepted", MembershipMessage.Accepted.class, "from", "of", "ballot");
    message("Decided", MembershipMessage.Decided.class, "from", "of", "value");
    message("AskView", MembershipMessage.ViewRequest.class, "from", "of", "index");
    message(
        "ViewPart",
        MembershipMessage.ViewPart.class,
        "from",
        "of",
        "index",
        "size",
        "members",
        "edition");
  }

  private static void nameLeaseAndAgreementMessages() {
    message("Renew", LeaseMessage.LeaseRenewal.class, "from", "id");
    message("Granted", LeaseMessage.LeaseGrant.class, "from", "id");
    message("Offer", AgreementMessage.VersionOffer.class, "from", "edition", "size");
    message("Checked", AgreementMessage.VersionCheck.class, "from", "edition", "why");
    message("Want", AgreementMessage.ContentRequest.class, "from", "hash", "index");
    message("Piece", AgreementMessage.ContentPart.class, "from", "hash", "index", "size", "bytes");
  }

  private static void nameSharingMessages() {
    message("ShareAsk", SharingPeerMessage.SharingRequest.class, "from", "told");
    message("ShareNewer", SharingPeerMessage.SharingReply.class, "from", "told");
    fields(SharingMessage.UpdateRequest.class, "from", "id", "known");
    fields(SharingMessage.UpdateReply.class, "from", "id", "statements", "standing");
    fields(SharingMessage.KnownVersion.class, "version", "age");
    fields(SharingMessage.Reaffirmation.class, "of", "version", "age");
    fields(FiguresUpdate.class, "of", "version", "figures", "age");
    fields(FiguresVersion.class, "birth", "number");
    fields(MemberFigures.class, "byName");
    fields(TimeSpan.class, "us");
  }

  private static void nameCapacityAndBudgetMessages() {
    message("Borrow", CapacityLeaseMessage.LeaseRequest.class, "from", "id", "amount");
    message("Lent", CapacityLeaseMessage.LeaseGrant.class, "from", "id", "amount", "lastsUs");
    message("AskReports", LoadReportMessage.ReportsRequest.class, "from", "id");
    message(
        "Table", LoadReportMessage.ReportsReply.class, "from", "id", "engines", "inHand", "agesMs");
    message("Beg", RetryBudgetMessage.BudgetRequest.class, "from", "id", "amount");
    message("Give", RetryBudgetMessage.BudgetTransfer.class, "from", "id", "amounts", "lastsUs");
  }

  private static void nameValues() {
    fields(
        MembershipMessage.MessageHeader.class,
        "member",
        "incarnation",
        "view",
        "majority",
        "ended");
    fields(MemberName.class, "value");
    fields(Incarnation.class, "value");
    fields(Member.class, "name", "birth", "address");
    fields(MemberUpdate.class, "member", "incarnation", "condition", "by");
    fields(ViewId.class, "line", "number");
    fields(View.class, "id", "members", "edition");
    fields(Ballot.class, "round", "by", "birth");
    fields(ViewDelta.class, "out", "in", "edition");
    fields(ConfigurationVersion.class, "number", "hash", "by");
    fields(
        PersistentState.class,
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

  /** Registers the kind and the field names of a message class. */
  private static <T extends Record & PeerMessage> void message(
      String kind, Class<T> type, String... names) {
    KINDS_BY_CLASS.put(type, kind);
    fields(type, names);
  }

  /** Registers the field names of a record. */
  private static void fields(Class<? extends Record> type, String... names) {
    if (type.getRecordComponents().length != names.length) {
      throw new IllegalStateException("each component of " + type.getName() + " needs a name");
    }
    FIELDS_BY_CLASS.put(type, List.of(names));
  }

  private static Map<String, Class<? extends PeerMessage>> classesByKind() {
    Map<String, Class<? extends PeerMessage>> classes = new HashMap<>();
    KINDS_BY_CLASS.forEach((type, kind) -> classes.put(kind, type));
    return Map.copyOf(classes);
  }

  /** The encoded kind of a message. */
  static String kindOf(PeerMessage message) {
    return KINDS_BY_CLASS.get(message.getClass());
  }

  /** The message class of an encoded kind, or null if the kind is unknown. */
  static Class<? extends PeerMessage> classOf(String kind) {
    return CLASSES_BY_KIND.get(kind);
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
    List<String> names = FIELDS_BY_CLASS.get(parameter.getDeclaringClass());
    boolean isCanonicalConstructor =
        names != null && parameter.getOwner().getParameterCount() == names.size();
    return isCanonicalConstructor ? PropertyName.construct(names.get(parameter.getIndex())) : null;
  }

  @Override
  public String[] findEnumValues(
      MapperConfig<?> config, AnnotatedClass type, Enum<?>[] constants, String[] names) {
    for (int i = 0; i < constants.length; i++) {
      names[i] = CONDITIONS.getOrDefault(constants[i], names[i]);
    }
    return names;
  }

  /** The encoded name of a record component; null if the type has no such component. */
  private static PropertyName nameOf(Class<?> type, String component) {
    if (!type.isRecord()) {
      return null;
    }
    List<String> names = FIELDS_BY_CLASS.get(type);
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
