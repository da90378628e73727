package cobaltseam.mastership;

/** What the caller is to do, in the order given. */
public sealed interface Act {
  VirtualRouterId router();

  /** Send an advert to every peer, with this priority; 0 resigns. */
  record Advertise(VirtualRouterId router, int priority) implements Act {}

  /** Take traffic for this virtual router from now on. */
  record Take(VirtualRouterId router, Reason reason) implements Act {}

  /** Take nothing new for it; finish what is in hand. */
  record Leave(VirtualRouterId router, Reason reason) implements Act {}
}
