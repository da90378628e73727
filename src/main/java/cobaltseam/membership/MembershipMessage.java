package cobaltseam.membership;

import java.util.List;
import java.util.Objects;

/**
 * What members tell each other. Nothing in one is trusted beyond what its kind says: of the teller
 * itself a whole statement, of others news that any of them can refute.
 */
public sealed interface MembershipMessage extends PeerMessage {
  /**
   * Who speaks, its incarnation, the view that it holds, whether a majority of that seems alive to
   * it, and the last view of the youngest line that it knows to have ended.
   */
  record MessageHeader(
      Member member, long statusVersion, ViewId view, boolean seesMajority, ViewId endedView) {
    public MessageHeader {
      Objects.requireNonNull(member);
      Objects.requireNonNull(view);
      // Programs before this field do not send it.
      endedView = endedView == null ? ViewId.NONE : endedView;
    }

    public MessageHeader(Member member, long incarnation, ViewId view, boolean majority) {
      this(member, incarnation, view, majority, ViewId.NONE);
    }
  }

  /**
   * Whether others may build on it, so that it has to outlive the process that says it, where that
   * has a lasting folder.
   */
  default boolean mustOutliveProcess() {
    return !(this instanceof HealthCheck
        || this instanceof HealthCheckRequest
        || this instanceof HealthCheckReply
        || this instanceof StateRequest
        || this instanceof StatePart
        || this instanceof NameTaken
        || this instanceof ViewRequest);
  }

  /** Asks whether the one asked is this process; carries news. */
  record HealthCheck(MessageHeader from, long id, MemberName to, List<MemberUpdate> updates)
      implements MembershipMessage {
    public HealthCheck {
      Objects.requireNonNull(from);
      Objects.requireNonNull(to);
      updates = List.copyOf(updates);
    }
  }

  /** Asks a helper to probe another in the teller's place. */
  record HealthCheckRequest(MessageHeader from, long id, Member target, List<MemberUpdate> updates)
      implements MembershipMessage {
    public HealthCheckRequest {
      Objects.requireNonNull(from);
      Objects.requireNonNull(target);
      updates = List.copyOf(updates);
    }
  }

  /** The answer to a probe, or of a helper: whether it reached the target. */
  record HealthCheckReply(MessageHeader from, long id, boolean reached, List<MemberUpdate> updates)
      implements MembershipMessage {
    public HealthCheckReply {
      Objects.requireNonNull(from);
      updates = List.copyOf(updates);
    }
  }

  /** Asks for the whole state, from after a name on; null from the first. */
  record StateRequest(MessageHeader from, MemberName after) implements MembershipMessage {
    public StateRequest {
      Objects.requireNonNull(from);
    }
  }

  /** A part of the whole state; more follows after its last name if asked for. */
  record StatePart(MessageHeader from, List<MemberUpdate> state, boolean more)
      implements MembershipMessage {
    public StatePart {
      Objects.requireNonNull(from);
      state = List.copyOf(state);
    }
  }

  /** The name is held by a process that lives elsewhere. */
  record NameTaken(MessageHeader from, Member holder) implements MembershipMessage {
    public NameTaken {
      Objects.requireNonNull(from);
      Objects.requireNonNull(holder);
    }
  }

  /** The first member of the founders asks the others to found a line with just these. */
  record BootstrapRequest(MessageHeader from, long attempt, List<Member> members)
      implements MembershipMessage {
    public BootstrapRequest {
      Objects.requireNonNull(from);
      members = List.copyOf(members);
    }
  }

  /** A founder's consent, bound to this one attempt of this one process. */
  record BootstrapConsent(MessageHeader from, long attempt) implements MembershipMessage {
    public BootstrapConsent {
      Objects.requireNonNull(from);
    }
  }

  /** Phase one of a ballot: promise nothing lower; and whom would you not take out? */
  record Prepare(MessageHeader from, ViewId viewId, Ballot ballot, List<MemberName> removed)
      implements MembershipMessage {
    public Prepare {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(ballot);
      removed = List.copyOf(removed);
    }
  }

  /** The promise, what was accepted before, and who should stay. */
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

  /** A higher ballot was promised: try above this one. */
  record Reject(MessageHeader from, ViewId viewId, Ballot ballot, Ballot promised)
      implements MembershipMessage {
    public Reject {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(ballot);
      Objects.requireNonNull(promised);
    }
  }

  /** Phase two. */
  record Accept(MessageHeader from, ViewId viewId, Ballot ballot, ViewDelta value)
      implements MembershipMessage {
    public Accept {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(ballot);
      Objects.requireNonNull(value);
    }
  }

  record Accepted(MessageHeader from, ViewId viewId, Ballot ballot) implements MembershipMessage {
    public Accepted {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(ballot);
    }
  }

  /** A majority accepted this change of this view. */
  record Decided(MessageHeader from, ViewId viewId, ViewDelta value) implements MembershipMessage {
    public Decided {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(value);
    }
  }

  /** Asks for the view that the other holds, from this index on. */
  record ViewRequest(MessageHeader from, ViewId viewId, int index) implements MembershipMessage {
    public ViewRequest {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
    }
  }

  /** A part of a view, from an index on. */
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
