package cobaltseam.membership;

import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipAction.MembershipEvent;
import java.util.ArrayList;
import java.util.List;

/** The view that this process holds, with its votes on the successor, and how it changes. */
final class LocalView {
  private final FailureDetector detector;
  private final LineageHistory lineages;
  private final ActionBuffer actions;
  private final List<ViewListener> listeners = new ArrayList<>();
  private ViewState state;
  private Timestamp installedAt;
  private View removedBy;

  LocalView(
      ViewState initial, FailureDetector detector, LineageHistory lineages, ActionBuffer actions) {
    state = initial;
    this.detector = detector;
    this.lineages = lineages;
    this.actions = actions;
  }

  /** Listeners are notified in the order in which they were added. */
  void addListener(ViewListener listener) {
    listeners.add(listener);
  }

  ViewState state() {
    return state;
  }

  /** The view, or null. */
  View view() {
    return state.view();
  }

  boolean hasView() {
    return state.view() != null;
  }

  /** When the view was installed, or confirmed after a restart; null before the first. */
  Timestamp installedAt() {
    return installedAt;
  }

  /**
   * The view that removed this process, until it installs another or that one is known to have
   * ended; else null.
   */
  View removedBy() {
    return removedBy;
  }

  void clearRemovedBy() {
    removedBy = null;
  }

  /** The configuration version that this process accepted for the next view, or null. */
  ConfigurationVersion acceptedConfiguration() {
    return state.accepted() == null || state.value() == null ? null : state.value().configuration();
  }

  /** Whether the view holds this very process. */
  boolean containsSelf(View view) {
    Member self = detector.self();
    return view.contains(self.name(), self.incarnation());
  }

  /** Starts with a view from the folder. */
  void markRestored(Timestamp now) {
    installedAt = now;
  }

  /** A majority confirmed the view from the folder. */
  void confirmRestored(Timestamp now) {
    installedAt = now;
    actions.addViewInstalled(state.view());
  }

  /** Replaces the state, with another view or the same. */
  void setState(ViewState next, Timestamp now) {
    View before = state.view();
    state = next;
    if (state.view() != before) {
      onChanged(before, now);
    }
  }

  /** Drops this process's own proposal. */
  void dropProposal() {
    state = state.with((ViewState.ProposalRound) null);
  }

  /** Takes a later view of the same lineage, or the first one here. */
  void follow(View next, Timestamp now) {
    if (containsSelf(next)) {
      setState(ViewState.of(next), now);
    } else if (hasView()) {
      leaveRemovedBy(next, now);
    }
  }

  /** Gives up the view since a successor of it does not hold this process. */
  void leaveRemovedBy(View next, Timestamp now) {
    removedBy = next;
    leaveLineage(MembershipEvent.TAKEN_OUT, "by view " + next.id(), now);
  }

  /** Gives up the view and never joins its lineage again, up to that view. */
  void leaveLineage(MembershipEvent event, String cause, Timestamp now) {
    actions.recordEvent(event, detector.self().name(), cause);
    View before = state.view();
    lineages.recordLeft(before.id());
    state = ViewState.NONE;
    onChanged(before, now);
  }

  private void onChanged(View before, Timestamp now) {
    View view = state.view();
    installedAt = now;
    listeners.forEach(l -> l.onViewChanged(before, view, now));
    if (view != null) {
      detector.addMembers(view.members(), now);
      removedBy = null;
    }
    actions.addViewInstalled(view);
  }
}
