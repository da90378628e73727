package cobaltseam.membership;

import java.util.List;
import java.util.Objects;

/**
 * What members tell each other. Nothing in one is trusted beyond what its kind says: of the teller
 * itself a whole statement, of others news that any of them can refute.
 */
public sealed interface Message extends Spoken {
  /**
   * Who speaks, its incarnation, the view that it holds, whether a majority of that seems alive to
   * it, and the last view of the youngest line that it knows to have ended.
   */
  record Teller(Member member, long incarnation, ViewId view, boolean majority, ViewId ended) {
    public Teller {
      Objects.requireNonNull(member);
      Objects.requireNonNull(view);
      // Programs before this field do not send it.
      ended = ended == null ? ViewId.NONE : ended;
    }

    public Teller(Member member, long incarnation, ViewId view, boolean majority) {
      this(member, incarnation, view, majority, ViewId.NONE);
    }
  }

  /**
   * Whether others may build on it, so that it has to outlive the process that says it, where that
   * has a lasting folder.
   */
  default boolean binds() {
    return !(this instanceof Probe
        || this instanceof Relay
        || this instanceof Answer
        || this instanceof Ask
        || this instanceof Part
        || this instanceof NameTaken
        || this instanceof AskView);
  }

  /** Asks whether the one asked is this process; carries news. */
  record Probe(Teller from, long id, MemberName to, List<News> news) implements Message {
    public Probe {
      Objects.requireNonNull(from);
      Objects.requireNonNull(to);
      news = List.copyOf(news);
    }
  }

  /** Asks a helper to probe another in the teller's place. */
  record Relay(Teller from, long id, Member target, List<News> news) implements Message {
    public Relay {
      Objects.requireNonNull(from);
      Objects.requireNonNull(target);
      news = List.copyOf(news);
    }
  }

  /** The answer to a probe, or of a helper: whether it reached the target. */
  record Answer(Teller from, long id, boolean reached, List<News> news) implements Message {
    public Answer {
      Objects.requireNonNull(from);
      news = List.copyOf(news);
    }
  }

  /** Asks for the whole state, from after a name on; null from the first. */
  record Ask(Teller from, MemberName after) implements Message {
    public Ask {
      Objects.requireNonNull(from);
    }
  }

  /** A part of the whole state; more follows after its last name if asked for. */
  record Part(Teller from, List<News> state, boolean more) implements Message {
    public Part {
      Objects.requireNonNull(from);
      state = List.copyOf(state);
    }
  }

  /** The name is held by a process that lives elsewhere. */
  record NameTaken(Teller from, Member holder) implements Message {
    public NameTaken {
      Objects.requireNonNull(from);
      Objects.requireNonNull(holder);
    }
  }

  /** The first member of the founders asks the others to found a line with just these. */
  record Found(Teller from, long attempt, List<Member> members) implements Message {
    public Found {
      Objects.requireNonNull(from);
      members = List.copyOf(members);
    }
  }

  /** A founder's consent, bound to this one attempt of this one process. */
  record Consent(Teller from, long attempt) implements Message {
    public Consent {
      Objects.requireNonNull(from);
    }
  }

  /** Phase one of a ballot: promise nothing lower; and whom would you not take out? */
  record Prepare(Teller from, ViewId of, Ballot ballot, List<MemberName> out) implements Message {
    public Prepare {
      Objects.requireNonNull(from);
      Objects.requireNonNull(of);
      Objects.requireNonNull(ballot);
      out = List.copyOf(out);
    }
  }

  /** The promise, what was accepted before, and who should stay. */
  record Promise(
      Teller from, ViewId of, Ballot ballot, Ballot accepted, Change value, List<MemberName> stay)
      implements Message {
    public Promise {
      Objects.requireNonNull(from);
      Objects.requireNonNull(of);
      Objects.requireNonNull(ballot);
      stay = List.copyOf(stay);
    }
  }

  /** A higher ballot was promised: try above this one. */
  record Refuse(Teller from, ViewId of, Ballot ballot, Ballot promised) implements Message {
    public Refuse {
      Objects.requireNonNull(from);
      Objects.requireNonNull(of);
      Objects.requireNonNull(ballot);
      Objects.requireNonNull(promised);
    }
  }

  /** Phase two. */
  record Accept(Teller from, ViewId of, Ballot ballot, Change value) implements Message {
    public Accept {
      Objects.requireNonNull(from);
      Objects.requireNonNull(of);
      Objects.requireNonNull(ballot);
      Objects.requireNonNull(value);
    }
  }

  record Accepted(Teller from, ViewId of, Ballot ballot) implements Message {
    public Accepted {
      Objects.requireNonNull(from);
      Objects.requireNonNull(of);
      Objects.requireNonNull(ballot);
    }
  }

  /** A majority accepted this change of this view. */
  record Decided(Teller from, ViewId of, Change value) implements Message {
    public Decided {
      Objects.requireNonNull(from);
      Objects.requireNonNull(of);
      Objects.requireNonNull(value);
    }
  }

  /** Asks for the view that the other holds, from this index on. */
  record AskView(Teller from, ViewId of, int index) implements Message {
    public AskView {
      Objects.requireNonNull(from);
      Objects.requireNonNull(of);
    }
  }

  /** A part of a view, from an index on. */
  record ViewPart(
      Teller from, ViewId of, int index, int size, List<Member> members, Edition edition)
      implements Message {
    public ViewPart {
      Objects.requireNonNull(from);
      Objects.requireNonNull(of);
      members = List.copyOf(members);
    }
  }
}
