package cobaltseam.mastership;

/** An action that the caller of {@link Mastership} must carry out, in the returned order. */
public sealed interface MastershipAction {
  /** The virtual router that the action applies to. */
  VirtualRouterId router();

  /**
   * Sends an advertisement to every peer; priority 0 resigns.
   *
   * @param options the options of the router as they were decided on; a router that resigns may be
   *     configured no longer
   */
  record Advertise(RouterOptions options, int priority) implements MastershipAction {
    @Override
    public VirtualRouterId router() {
      return options.router();
    }
  }

  /** Starts serving the virtual router. */
  record Acquire(VirtualRouterId router, TransitionReason reason) implements MastershipAction {}

  /** Stops admitting requests for the virtual router; those in flight are finished. */
  record Release(VirtualRouterId router, TransitionReason reason) implements MastershipAction {}
}
