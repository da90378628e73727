package cobaltseam.sharing;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.membership.MemberName;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** What members tell each other of what they know. Only what was asked for is believed. */
public sealed interface SharingMessage {
  MemberName from();

  /** Which statement of a member the one that asks has, and how old it is there at the most. */
  record KnownVersion(Version version, TimeSpan age) {
    public KnownVersion {
      Objects.requireNonNull(version);
      Objects.requireNonNull(age);
    }
  }

  /**
   * Asks for all that is newer than this, or the same and younger; of whom nothing is said, nothing
   * is known.
   */
  record UpdateRequest(MemberName from, long id, Map<MemberName, KnownVersion> known)
      implements SharingMessage {
    public UpdateRequest {
      Objects.requireNonNull(from);
      known = Map.copyOf(known);
    }
  }

  /**
   * The member stood by this statement no longer ago than that: the figures are those that the one
   * that asked has.
   */
  record Reaffirmation(MemberName member, Version version, TimeSpan age) {
    public Reaffirmation {
      Objects.requireNonNull(member);
      Objects.requireNonNull(version);
      Objects.requireNonNull(age);
    }
  }

  /** The answer to one ask, in one or several parts. */
  record UpdateReply(
      MemberName from, long id, List<Statement> statements, List<Reaffirmation> standing)
      implements SharingMessage {
    public UpdateReply {
      Objects.requireNonNull(from);
      statements = List.copyOf(statements);
      standing = List.copyOf(standing);
    }
  }
}
