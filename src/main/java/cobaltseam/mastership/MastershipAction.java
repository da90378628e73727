package cobaltseam.mastership;

/** What the caller is to do, in the order given. */
public sealed interface MastershipAction {
  VirtualRouterId router();

  /** Send an advert to every peer, with this priority; 0 resigns. */
  record Advertise(VirtualRouterId router, int priority) implements MastershipAction {}

  /** Take traffic for this virtual router from now on. */
  record Acquire(VirtualRouterId router, TransitionReason reason) implements MastershipAction {}

  /** Take nothing new for it; finish what is in hand. */
  record Release(VirtualRouterId router, TransitionReason reason) implements MastershipAction {}
}
