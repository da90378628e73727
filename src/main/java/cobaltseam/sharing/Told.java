package cobaltseam.sharing;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.membership.MemberName;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** What members tell each other of what they know. Only what was asked for is believed. */
public sealed interface Told {
  MemberName from();

  /** Which statement of a member the one that asks has, and how old it is there at the most. */
  record Have(Version version, TimeSpan age) {
    public Have {
      Objects.requireNonNull(version);
      Objects.requireNonNull(age);
    }
  }

  /**
   * Asks for all that is newer than this, or the same and younger; of whom nothing is said, nothing
   * is known.
   */
  record Ask(MemberName from, long id, Map<MemberName, Have> known) implements Told {
    public Ask {
      Objects.requireNonNull(from);
      known = Map.copyOf(known);
    }
  }

  /**
   * The member stood by this statement no longer ago than that: the figures are those that the one
   * that asked has.
   */
  record Stands(MemberName of, Version version, TimeSpan age) {
    public Stands {
      Objects.requireNonNull(of);
      Objects.requireNonNull(version);
      Objects.requireNonNull(age);
    }
  }

  /** The answer to one ask, in one or several parts. */
  record Newer(MemberName from, long id, List<Statement> statements, List<Stands> standing)
      implements Told {
    public Newer {
      Objects.requireNonNull(from);
      statements = List.copyOf(statements);
      standing = List.copyOf(standing);
    }
  }
}
