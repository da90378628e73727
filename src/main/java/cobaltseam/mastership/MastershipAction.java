package cobaltseam.mastership;

/** An action that the caller of {@link Mastership} must carry out, in the returned order. */
public sealed interface MastershipAction {
  /** The virtual router that the action applies to. */
  VirtualRouterId router();

  /** Sends an advertisement with this priority to every peer; priority 0 resigns. */
  record Advertise(VirtualRouterId router, int priority) implements MastershipAction {}

  /** Starts serving the virtual router. */
  record Acquire(VirtualRouterId router, TransitionReason reason) implements MastershipAction {}

  /** Stops admitting requests for the virtual router; those in flight are finished. */
  record Release(VirtualRouterId router, TransitionReason reason) implements MastershipAction {}
}
