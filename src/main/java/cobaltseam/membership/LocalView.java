package cobaltseam.membership;

import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipAction.MembershipEvent;
import java.util.ArrayList;
import java.util.List;

/** The view that this process has installed, and its votes on the successor. */
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

  /** Adds a listener; listeners are notified in the order in which they were added. */
  void addListener(ViewListener listener) {
    listeners.add(listener);
  }

  ViewState state() {
    return state;
  }

  /** The installed view, or null. */
  View view() {
    return state.view();
  }

  boolean hasView() {
    return state.view() != null;
  }

  /** When the view was installed, or confirmed after a restart; null before the first view. */
  Timestamp installedAt() {
    return installedAt;
  }

  /**
   * The view that removed this process. Null if this process was not removed, has installed a view
   * since, or knows that the lineage of that view has ended.
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

  /** Whether a view contains this process under its current incarnation. */
  boolean containsSelf(View view) {
    Member self = detector.self();
    return view.contains(self.name(), self.incarnation());
  }

  /** Records that the process starts with a view from the folder. */
  void markRestored(Timestamp now) {
    installedAt = now;
  }

  /** Records that a majority has confirmed the view from the folder, and reports it installed. */
  void confirmRestored(Timestamp now) {
    installedAt = now;
    actions.addViewInstalled(state.view());
  }

  /** Replaces the state, and notifies the listeners if the view is another one. */
  void setState(ViewState next, Timestamp now) {
    View before = state.view();
    state = next;
    if (state.view() != before) {
      onChanged(before, now);
    }
  }

  /** Discards the proposal of this process. */
  void dropProposal() {
    state = state.withRound(null);
  }

  /**
   * Installs a later view of the lineage, or the first view of this process. If the view does not
   * contain this process, leaves the lineage instead.
   */
  void installOrLeave(View next, Timestamp now) {
    if (containsSelf(next)) {
      setState(ViewState.of(next), now);
    } else if (hasView()) {
      leaveAfterRemovalBy(next, now);
    }
  }

  /** Leaves the lineage because a later view of it does not contain this process. */
  void leaveAfterRemovalBy(View next, Timestamp now) {
    removedBy = next;
    leaveLineage(MembershipEvent.TAKEN_OUT, "removed by view " + next.id(), now);
  }

  /**
   * Gives up the installed view. This process never installs that view or an earlier one of the
   * lineage again.
   *
   * @param cause the cause, for the log
   */
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
