package cobaltseam.sharing;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.membership.MemberName;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** The messages of gossip. A reply counts only if it was requested. */
public sealed interface SharingMessage {
  /** The sender. */
  MemberName from();

  /** The version that the requester knows of a member, and the largest age that it can have. */
  record KnownVersion(FiguresVersion version, TimeSpan age) {
    public KnownVersion {
      Objects.requireNonNull(version);
      Objects.requireNonNull(age);
    }
  }

  /**
   * Requests all statements that are newer than the known ones, or the same and younger. Of members
   * that are not listed nothing is known.
   */
  record UpdateRequest(MemberName from, long id, Map<MemberName, KnownVersion> known)
      implements SharingMessage {
    public UpdateRequest {
      Objects.requireNonNull(from);
      known = Map.copyOf(known);
    }
  }

  /**
   * Confirms a version that the requester knows: its member confirmed it no longer ago than the
   * age.
   */
  record Reaffirmation(MemberName member, FiguresVersion version, TimeSpan age) {
    public Reaffirmation {
      Objects.requireNonNull(member);
      Objects.requireNonNull(version);
      Objects.requireNonNull(age);
    }
  }

  /** The reply to one request, in one or several parts. */
  record UpdateReply(
      MemberName from, long id, List<FiguresUpdate> updates, List<Reaffirmation> reaffirmations)
      implements SharingMessage {
    public UpdateReply {
      Objects.requireNonNull(from);
      updates = List.copyOf(updates);
      reaffirmations = List.copyOf(reaffirmations);
    }
  }
}
