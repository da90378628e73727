package cobaltseam.membership;

import cobaltseam.membership.MembershipAction.MembershipEvent;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Collects the actions of one call of {@link Membership}, in the order in which they arise. */
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

  /** A view applies from now on; null for none. */
  void addViewInstalled(View view) {
    actions.add(new MembershipAction.ViewInstalled(view));
  }

  void addFirst(MembershipAction action) {
    actions.add(0, action);
  }

  void removeIf(Predicate<MembershipAction> condition) {
    actions.removeIf(condition);
  }

  /** Returns all collected actions and forgets them. */
  List<MembershipAction> drain() {
    List<MembershipAction> drained = List.copyOf(actions);
    actions.clear();
    return drained;
  }
}
