package cobaltseam.membership;

import java.util.List;
import java.util.Objects;

/**
 * The messages of membership. The status that a message contains of its sender is authoritative;
 * that of other members is an update that they can refute.
 */
public sealed interface MembershipMessage extends PeerMessage {
  /**
   * The status of the sender, part of every message.
   *
   * @param statusVersion the sender's status version, from 0
   * @param view the installed view of the sender, or {@link ViewId#NONE}
   * @param seesMajority whether the sender considers a majority of that view alive
   * @param endedView the last view of the youngest lineage that the sender knows to have ended, or
   *     {@link ViewId#NONE}
   */
  record MessageHeader(
      Member member, long statusVersion, ViewId view, boolean seesMajority, ViewId endedView) {
    /** Replaces a missing ended view by {@link ViewId#NONE}. */
    public MessageHeader {
      Objects.requireNonNull(member);
      Objects.requireNonNull(view);
      // Absent in messages of members whose version does not have this field.
      endedView = endedView == null ? ViewId.NONE : endedView;
    }

    /** A header without an ended view. */
    public MessageHeader(Member member, long statusVersion, ViewId view, boolean seesMajority) {
      this(member, statusVersion, view, seesMajority, ViewId.NONE);
    }
  }

  /**
   * Whether other members may rely on this message, so that a process with a state folder must
   * persist the state that the message reports before it is sent.
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

  /**
   * A health check of the process with the name {@code to}.
   *
   * @param id identifies the check in its reply
   * @param updates gossip
   */
  record HealthCheck(MessageHeader from, long id, MemberName to, List<MemberUpdate> updates)
      implements MembershipMessage {
    public HealthCheck {
      Objects.requireNonNull(from);
      Objects.requireNonNull(to);
      updates = List.copyOf(updates);
    }
  }

  /**
   * Asks a relay to check a target on behalf of the sender (indirect health check).
   *
   * @param id identifies the request in its replies
   * @param updates gossip
   */
  record HealthCheckRequest(MessageHeader from, long id, Member target, List<MemberUpdate> updates)
      implements MembershipMessage {
    public HealthCheckRequest {
      Objects.requireNonNull(from);
      Objects.requireNonNull(target);
      updates = List.copyOf(updates);
    }
  }

  /**
   * The reply to a health check, or a reply of a relay.
   *
   * @param id the identifier of the health check or of the request
   * @param reached true if the target answered; false if a relay acknowledges a request
   * @param updates gossip
   */
  record HealthCheckReply(MessageHeader from, long id, boolean reached, List<MemberUpdate> updates)
      implements MembershipMessage {
    public HealthCheckReply {
      Objects.requireNonNull(from);
      updates = List.copyOf(updates);
    }
  }

  /** Asks for the part of the full state after a name; for the first part if the name is null. */
  record StateRequest(MessageHeader from, MemberName after) implements MembershipMessage {
    public StateRequest {
      Objects.requireNonNull(from);
    }
  }

  /**
   * A part of the full state, ordered by name, or single updates.
   *
   * @param hasMore whether further state follows the last name of this part
   */
  record StatePart(MessageHeader from, List<MemberUpdate> state, boolean hasMore)
      implements MembershipMessage {
    public StatePart {
      Objects.requireNonNull(from);
      state = List.copyOf(state);
    }
  }

  /**
   * Notifies the recipient that a live process at another address uses its name.
   *
   * @param owner the process that uses the name
   */
  record NameTaken(MessageHeader from, Member owner) implements MembershipMessage {
    public NameTaken {
      Objects.requireNonNull(from);
      Objects.requireNonNull(owner);
    }
  }

  /**
   * Asks the other bootstrap members to begin a lineage with these processes; sent by the first
   * bootstrap member.
   */
  record BootstrapRequest(MessageHeader from, long attempt, List<Member> members)
      implements MembershipMessage {
    public BootstrapRequest {
      Objects.requireNonNull(from);
      members = List.copyOf(members);
    }
  }

  /** Consents to one bootstrap attempt of the recipient. */
  record BootstrapConsent(MessageHeader from, long attempt) implements MembershipMessage {
    public BootstrapConsent {
      Objects.requireNonNull(from);
    }
  }

  /**
   * Phase one of a ballot: asks for a promise, and for votes on the removals.
   *
   * @param removed the members that the proposer wants to remove
   */
  record Prepare(MessageHeader from, ViewId viewId, Ballot ballot, List<MemberName> removed)
      implements MembershipMessage {
    public Prepare {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(ballot);
      removed = List.copyOf(removed);
    }
  }

  /**
   * The reply to {@link Prepare}.
   *
   * @param accepted the highest ballot under which the voter accepted a change before, or null
   * @param value the change accepted under that ballot, or null
   * @param retained the members whose removal the voter rejects
   */
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

  /**
   * Rejects a ballot because a higher one was promised.
   *
   * @param promised the highest promised ballot; the next ballot of the recipient has to be above
   *     it
   */
  record Reject(MessageHeader from, ViewId viewId, Ballot ballot, Ballot promised)
      implements MembershipMessage {
    public Reject {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(ballot);
      Objects.requireNonNull(promised);
    }
  }

  /** Phase two of a ballot: asks to accept a change of the view. */
  record Accept(MessageHeader from, ViewId viewId, Ballot ballot, ViewDelta value)
      implements MembershipMessage {
    public Accept {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(ballot);
      Objects.requireNonNull(value);
    }
  }

  /** The reply to {@link Accept}: the voter accepted the change of this ballot. */
  record Accepted(MessageHeader from, ViewId viewId, Ballot ballot) implements MembershipMessage {
    public Accepted {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(ballot);
    }
  }

  /** Notifies the recipient that a majority accepted this change of the view. */
  record Decided(MessageHeader from, ViewId viewId, ViewDelta value) implements MembershipMessage {
    public Decided {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
      Objects.requireNonNull(value);
    }
  }

  /** Asks for a view, from the member at this index on. */
  record ViewRequest(MessageHeader from, ViewId viewId, int index) implements MembershipMessage {
    public ViewRequest {
      Objects.requireNonNull(from);
      Objects.requireNonNull(viewId);
    }
  }

  /**
   * A part of a view.
   *
   * @param index the index of the first member of this part
   * @param size the number of members of the whole view
   */
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
