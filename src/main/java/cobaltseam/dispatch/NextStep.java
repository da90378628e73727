package cobaltseam.dispatch;

/**
 * What the caller has to do next. At most one of the first three components says what; with none of
 * them the caller asks again after the delay.
 *
 * @param request the request to place again, or whose attempt to cancel; null otherwise
 * @param healthCheck the engine to check; null otherwise
 * @param cancelAttempt the number of the attempt to cancel; -1 otherwise
 * @param delay zero to act now; null if nothing waits, and the caller need not ask again
 */
public record NextStep(Request request, EngineId healthCheck, int cancelAttempt, TimeSpan delay) {
  private static final int NONE = -1;

  /** Place this queued request again, now. */
  public static NextStep placeAgain(Request request) {
    return new NextStep(request, null, NONE, TimeSpan.ZERO);
  }

  /** Check the health of this engine, now. */
  public static NextStep healthCheck(EngineId engine) {
    return new NextStep(null, engine, NONE, TimeSpan.ZERO);
  }

  /** Cancel this attempt of a request, now. */
  public static NextStep cancelAttempt(Request request, int attempt) {
    return new NextStep(request, null, attempt, TimeSpan.ZERO);
  }

  /** Ask again after this delay; null if nothing waits. */
  public static NextStep waitFor(TimeSpan delay) {
    return new NextStep(null, null, NONE, delay);
  }
}
