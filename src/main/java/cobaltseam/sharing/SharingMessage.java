package cobaltseam.sharing;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.membership.MemberName;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** The messages of {@link StateGossip}. A reply is ignored unless it was requested. */
public sealed interface SharingMessage {
  /** The sender. */
  MemberName from();

  /** The version of a member's figures that the requester knows, and the largest possible age. */
  record KnownVersion(FiguresVersion version, TimeSpan age) {
    public KnownVersion {
      Objects.requireNonNull(version);
      Objects.requireNonNull(age);
    }
  }

  /**
   * Requests all figures that are newer than the known ones, or that have the same version and were
   * confirmed later. The requester knows nothing of members that are not listed.
   */
  record UpdateRequest(MemberName from, long id, Map<MemberName, KnownVersion> known)
      implements SharingMessage {
    public UpdateRequest {
      Objects.requireNonNull(from);
      known = Map.copyOf(known);
    }
  }

  /**
   * Confirms that a version that the requester knows is still current: the member itself last
   * confirmed it no longer ago than the age.
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
