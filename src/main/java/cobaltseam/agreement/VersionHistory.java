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
 * Which configuration versions before that of the view some process may still act on. A version may
 * be acted on until all leases under it have ended, or until all members hold a later one.
 */
final class VersionHistory {
  private record SupersededVersion(ConfigurationVersion version, Timestamp until) {}

  private final Membership membership;
  private final List<SupersededVersion> superseded = new ArrayList<>();
  private View view;

  /** Until then others may act on versions that are not known here. */
  private Timestamp unknownUntil;

  /** Until then members that were removed from the view may act under their leases. */
  private Timestamp removedUntil;

  VersionHistory(Membership membership) {
    this.membership = membership;
  }

  /**
   * Follows a change of the view.
   *
   * @param next the view that is held now, or null
   * @param maxLeaseDuration after which all leases given until now have ended, by any clock
   */
  void follow(View next, TimeSpan maxLeaseDuration, Timestamp now) {
    if (next == view) {
      return;
    }
    Timestamp leasesEnd = now.plus(maxLeaseDuration);
    boolean isSameLineage =
        next != null && view != null && next.id().lineage() == view.id().lineage();
    ConfigurationVersion previous = view == null ? null : view.configuration();
    long newVersions =
        next == null
            ? 0
            : ConfigurationVersion.numberOf(next.configuration())
                - ConfigurationVersion.numberOf(previous);
    if (next != null && (!isSameLineage || newVersions > 1)) {
      unknownUntil = leasesEnd;
    }
    if (isSameLineage && newVersions > 0 && previous != null) {
      superseded.add(new SupersededVersion(previous, leasesEnd));
    }
    if (isSameLineage && mayHaveRemovedMembers(next)) {
      removedUntil = leasesEnd;
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

  /** Forgets the versions that no process acts on any more. */
  void expire(Timestamp now) {
    superseded.removeIf(version -> !now.isBefore(version.until));
    boolean isRemovalOver = removedUntil == null || !now.isBefore(removedUntil);
    if (!superseded.isEmpty() && isRemovalOver && membership.isViewReportedByAll()) {
      superseded.clear();
    }
  }

  /** Whether others may act on versions that are not known here. */
  boolean hasUnknownVersions(Timestamp now) {
    return unknownUntil != null && now.isBefore(unknownUntil);
  }

  /** The known versions that some process may still act on, oldest first. */
  List<ConfigurationVersion> versions() {
    return superseded.stream().map(SupersededVersion::version).toList();
  }

  /** Passes on each time at which something of this changes by itself. */
  void forEachDeadline(Consumer<Timestamp> deadline) {
    if (unknownUntil != null) {
      deadline.accept(unknownUntil);
    }
    superseded.forEach(version -> deadline.accept(version.until));
  }
}
