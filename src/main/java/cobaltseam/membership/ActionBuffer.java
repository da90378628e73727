package cobaltseam.membership;

import cobaltseam.membership.MembershipAction.MembershipEvent;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Collects the actions that one call of {@link Membership} returns, in the order of creation. */
final class ActionBuffer implements DetectorOutput {
  private final List<MembershipAction> actions = new ArrayList<>();

  @Override
  public void send(InetSocketAddress to, MembershipMessage message) {
    actions.add(new MembershipAction.Send(to, message));
  }

  void send(Member to, MembershipMessage message) {
    send(to.peerAddress(), message);
  }

  @Override
  public void recordEvent(MembershipEvent event, MemberName member, String detail) {
    actions.add(new MembershipAction.EventRecorded(event, member, detail));
  }

  /** Adds the notification that a view was installed; null if this process has no view any more. */
  void addViewInstalled(View view) {
    actions.add(new MembershipAction.ViewInstalled(view));
  }

  /** Adds an action before all others. */
  void addFirst(MembershipAction action) {
    actions.add(0, action);
  }

  /** Removes the actions that match. */
  void removeIf(Predicate<MembershipAction> condition) {
    actions.removeIf(condition);
  }

  /** Returns all collected actions and clears the buffer. */
  List<MembershipAction> drain() {
    List<MembershipAction> drained = List.copyOf(actions);
    actions.clear();
    return drained;
  }
}
