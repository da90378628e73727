package cobaltseam.agreement;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.ConfigurationVersion;
import cobaltseam.membership.Membership;
import cobaltseam.membership.View;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Tracks the earlier configuration versions that some process may still act on. A process may act
 * on a version until all leases under it have ended, or until all members have installed a view
 * with a later version.
 */
final class VersionHistory {
  /**
   * An earlier version.
   *
   * @param leasesEndAt when all leases under the version have ended
   */
  private record SupersededVersion(ConfigurationVersion version, Timestamp leasesEndAt) {}

  private final Membership membership;
  private final List<SupersededVersion> superseded = new ArrayList<>();
  private View view;

  /**
   * Until this time other processes may act on versions that this process does not know; null if
   * this has never been possible.
   */
  private Timestamp unknownUntil;

  /**
   * Until this time members that were removed from the view may act under their leases; null if no
   * member has been removed.
   */
  private Timestamp removedUntil;

  VersionHistory(Membership membership) {
    this.membership = membership;
  }

  /**
   * Updates the history after a change of the view; does nothing if the view is the same.
   *
   * @param next the installed view, or null
   * @param maxLeaseDuration the time after which all leases granted until now have ended, by any
   *     member's clock
   */
  void update(View next, TimeSpan maxLeaseDuration, Timestamp now) {
    if (next == view) {
      return;
    }
    Timestamp leasesEndAt = now.plus(maxLeaseDuration);
    boolean isSameLineage =
        next != null && view != null && next.id().lineage() == view.id().lineage();
    ConfigurationVersion previous = view == null ? null : view.configuration();
    long newVersions =
        next == null
            ? 0
            : ConfigurationVersion.numberOf(next.configuration())
                - ConfigurationVersion.numberOf(previous);
    if (next != null && (!isSameLineage || newVersions > 1)) {
      unknownUntil = leasesEndAt;
    }
    if (isSameLineage && newVersions > 0 && previous != null) {
      superseded.add(new SupersededVersion(previous, leasesEndAt));
    }
    if (isSameLineage && mayHaveRemovedMembers(next)) {
      removedUntil = leasesEndAt;
    }
    if (!isSameLineage) {
      superseded.clear();
    }
    view = next;
  }

  private boolean mayHaveRemovedMembers(View next) {
    boolean hasSkippedViews = next.id().number() > view.id().number() + 1;
    return hasSkippedViews
        || view.members().stream()
            .anyMatch(member -> !next.contains(member.name(), member.incarnation()));
  }

  /** Removes the versions that no process can act on any more. */
  void expire(Timestamp now) {
    superseded.removeIf(version -> !now.isBefore(version.leasesEndAt));
    boolean isRemovalOver = removedUntil == null || !now.isBefore(removedUntil);
    if (!superseded.isEmpty() && isRemovalOver && membership.isViewReportedByAll()) {
      superseded.clear();
    }
  }

  /** Whether other processes may act on versions that this process does not know. */
  boolean hasUnknownVersions(Timestamp now) {
    return unknownUntil != null && now.isBefore(unknownUntil);
  }

  /** The known versions that some process may still act on, oldest first. */
  List<ConfigurationVersion> versions() {
    return superseded.stream().map(SupersededVersion::version).toList();
  }

  /** Passes each time at which this history changes without a change of the view. */
  void forEachDeadline(Consumer<Timestamp> deadline) {
    if (unknownUntil != null) {
      deadline.accept(unknownUntil);
    }
    superseded.forEach(version -> deadline.accept(version.leasesEndAt));
  }
}
