package cobaltseam.fleet;

import cobaltseam.membership.MembershipAction;
import cobaltseam.membership.PersistentState;
import cobaltseam.store.BackgroundWriter;

/** The state folder of a process in virtual time, with one write in progress at most. */
final class VirtualStateFolder {
  private PersistentState stored;
  private PersistentState copy;
  private MembershipAction.Persist pending;

  /** Since when writes have failed; NaN if the last one did not, infinite after an outage. */
  private double failingSinceS = Double.NaN;

  /** The stored state, or null. */
  PersistentState stored() {
    return stored;
  }

  /** Begins a write, which replaces the one in progress. */
  void submit(MembershipAction.Persist write) {
    pending = write;
  }

  /** Whether this write is still in progress. */
  boolean isPending(MembershipAction.Persist write) {
    return pending == write;
  }

  /** Ends the write in progress with success. */
  void complete() {
    stored = pending.state();
    pending = null;
    failingSinceS = Double.NaN;
  }

  /** Records at this time that the write in progress has failed; it will be repeated. */
  void fail(double nowS) {
    if (Double.isNaN(failingSinceS)) {
      failingSinceS = nowS;
    }
  }

  /** Whether writes have failed for long enough to report an outage, which happens once. */
  boolean isOutageDue(double nowS) {
    return nowS - failingSinceS >= BackgroundWriter.OUTAGE.toSeconds();
  }

  /** Records that the outage was reported. */
  void setOutageReported() {
    failingSinceS = Double.POSITIVE_INFINITY;
  }

  /** Whether a write is in progress. */
  boolean hasPending() {
    return pending != null;
  }

  /** Ends the write in progress without success, as the process ends. */
  void abandon() {
    pending = null;
    failingSinceS = Double.NaN;
  }

  /** Removes the stored state. */
  void clear() {
    stored = null;
  }

  /** Copies the stored state aside. */
  void saveCopy() {
    copy = stored;
  }

  /** Replaces the stored state by the copy, which may be none. */
  void restoreCopy() {
    stored = copy;
  }
}
