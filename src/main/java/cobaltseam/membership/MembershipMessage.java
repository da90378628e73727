package cobaltseam.membership;

import java.util.List;
import java.util.Objects;

/**
 * The messages of membership. What a message says about its sender is authoritative; what it says
 * about others is an update that they can refute.
 */
public sealed interface MembershipMessage extends PeerMessage {
  /**
   * What every message says about its sender.
   *
   * @param statusVersion the sender's status version, from 0
   * @param view the view that it holds, or {@link ViewId#NONE}
   * @param seesMajority whether a majority of that view seems alive to it
   * @param endedView the last view of the youngest lineage that it knows to have ended
   */
  record MessageHeader(
      Member member, long statusVersion, ViewId view, boolean seesMajority, ViewId endedView) {
    /** Replaces a missing ended view by {@link ViewId#NONE}. */
    public MessageHeader {
      Objects.requireNonNull(member);
      Objects.requireNonNull(view);
      // Versions before this field do not send it.
      endedView = endedView == null ? ViewId.NONE : endedView;
    }

    /** A header without an ended view. */
    public MessageHeader(Member member, long statusVersion, ViewId view, boolean seesMajority) {
      this(member, statusVersion, view, seesMajority, ViewId.NONE);
    }
  }

  /**
   * Whether others may rely on it, so that a process with a folder persists the state behind it
   * before it is sent.
   */
  default boolean requiresPersistedState() {
    return !(this instanceof HealthCheck
        || this instanceof HealthCheckRequest
        || this instanceof HealthCheckReply
        || this instanceof StateRequest
        || this instanceof StatePart
        || this instanceof NameTaken
        || this instanceof ViewRequest);
  }

  /** A health check of the process with a name; carries updates, as its reply does. */
  record HealthCheck(MessageHeader from, long id, MemberName to, List<MemberUpdate> updates)
      implements MembershipMessage {
    public HealthCheck {
      Objects.requireNonNull(from);
      Objects.requireNonNull(to);
      updates = List.copyOf(updates);
    }
  }

  /** Asks a relay to check a target on behalf of the sender. */
  record HealthCheckRequest(MessageHeader from, long id, Member target, List<MemberUpdate> updates)
      implements MembershipMessage {
    public HealthCheckRequest {
      Objects.requireNonNull(from);
      Objects.requireNonNull(target);
      updates = List.copyOf(updates);
    }
  }

  /** The reply to a health check, or of a relay: whether the target was reached. */
  record HealthCheckReply(MessageHeader from, long id, boolean reached, List<MemberUpdate> updates)
      implements MembershipMessage {
    public HealthCheckReply {
      Objects.requireNonNull(from);
      updates = List.copyOf(updates);
    }
  }

  /** Asks for the full state after a name; from the first for null. */
  record StateRequest(MessageHeader from, MemberName after) implements MembershipMessage {
    public StateRequest {
      Objects.requireNonNull(from);
    }
  }

  /** A part of the full state; {@code hasMore} if there is state after its last name. */
  record StatePart(MessageHeader from, List<MemberUpdate> state, boolean hasMore)
      implements MembershipMessage {
    public StatePart {
      Objects.requireNonNull(from);
      state = List.copyOf(state);
    }
  }

  /** The name of the recipient is held by a live process at another address. */
  record NameTaken(MessageHeader from, Member owner) implements MembershipMessage {
    public NameTaken {
      Objects.requireNonNull(from);
      Objects.requireNonNull(owner);
    }
  }

  /** The first bootstrap member asks the others to begin a lineage with these processes. */
  record BootstrapRequest(MessageHeader from, long attempt, List<Member> members)
      implements MembershipMessage {
    public BootstrapRequest {
      Objects.requireNonNull(from);
      members = List.copyOf(members);
    }
  }

  /** Consent to one bootstrap attempt of one process. */
  record BootstrapConsent(MessageHeader from, long attempt) implements MembershipMessage {
    public BootstrapConsent {
      Objects.requireNonNull(from);
    }
  }

  /** Phase one of a ballot: asks for a promise, and for votes on the removals. */
  record Prepare(MessageHeader from, ViewId viewId, Ballot ballot, List<MemberName> removed)
      implements MembershipMessage {
    public Prepare {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(ballot);
      removed = List.copyOf(removed);
    }
  }

  /** The promise, what was accepted before, and the members that the voter retains. */
  record Promise(
      MessageHeader from,
      ViewId viewId,
      Ballot ballot,
      Ballot accepted,
      ViewDelta value,
      List<MemberName> retained)
      implements MembershipMessage {
    public Promise {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(ballot);
      retained = List.copyOf(retained);
    }
  }

  /** A higher ballot was promised, above which the next proposal has to be. */
  record Reject(MessageHeader from, ViewId viewId, Ballot ballot, Ballot promised)
      implements MembershipMessage {
    public Reject {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(ballot);
      Objects.requireNonNull(promised);
    }
  }

  /** Phase two: asks to accept a change under a ballot. */
  record Accept(MessageHeader from, ViewId viewId, Ballot ballot, ViewDelta value)
      implements MembershipMessage {
    public Accept {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(ballot);
      Objects.requireNonNull(value);
    }
  }

  /** The voter accepted the change of this ballot. */
  record Accepted(MessageHeader from, ViewId viewId, Ballot ballot) implements MembershipMessage {
    public Accepted {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(ballot);
    }
  }

  /** A majority accepted this change of the view. */
  record Decided(MessageHeader from, ViewId viewId, ViewDelta value) implements MembershipMessage {
    public Decided {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(value);
    }
  }

  /** Asks for the held view, from the member at this index on. */
  record ViewRequest(MessageHeader from, ViewId viewId, int index) implements MembershipMessage {
    public ViewRequest {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
    }
  }

  /** A part of a view with {@code size} members, from an index on. */
  record ViewPart(
      MessageHeader from,
      ViewId viewId,
      int index,
      int size,
      List<Member> members,
      ConfigurationVersion configuration)
      implements MembershipMessage {
    public ViewPart {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      members = List.copyOf(members);
    }
  }
}
