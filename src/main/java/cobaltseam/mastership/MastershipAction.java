package cobaltseam.mastership;

/** What the caller of {@link Mastership} must do, in the order given. */
public sealed interface MastershipAction {
  /** The virtual router concerned. */
  VirtualRouterId router();

  /** Send an advertisement of this priority to every peer; 0 resigns. */
  record Advertise(VirtualRouterId router, int priority) implements MastershipAction {}

  /** Serve the virtual router from now on. */
  record Acquire(VirtualRouterId router, TransitionReason reason) implements MastershipAction {}

  /** Admit no new requests for the virtual router; those in flight are finished. */
  record Release(VirtualRouterId router, TransitionReason reason) implements MastershipAction {}
}
