package cobaltseam.dispatch;

/**
 * What the caller of {@link Dispatcher#next} has to do next. At most one of the first three
 * components names an action; if none does, the caller calls {@code next} again after the delay.
 *
 * @param request the request to place again, or the one whose attempt is to be cancelled; null
 *     otherwise
 * @param healthCheck the engine whose health is to be checked; null otherwise
 * @param cancelAttempt the number of the attempt to cancel; -1 otherwise
 * @param delay zero if the action is due now; null if nothing is pending, so that the caller need
 *     not call again
 */
public record NextStep(Request request, EngineId healthCheck, int cancelAttempt, TimeSpan delay) {
  private static final int NONE = -1;

  /** Tells the caller to place a queued request again, now. */
  public static NextStep placeAgain(Request request) {
    return new NextStep(request, null, NONE, TimeSpan.ZERO);
  }

  /** Tells the caller to check the health of an engine, now. */
  public static NextStep healthCheck(EngineId engine) {
    return new NextStep(null, engine, NONE, TimeSpan.ZERO);
  }

  /** Tells the caller to cancel an attempt of a request, now. */
  public static NextStep cancelAttempt(Request request, int attempt) {
    return new NextStep(request, null, attempt, TimeSpan.ZERO);
  }

  /** Tells the caller to call again after a delay; null if nothing is pending. */
  public static NextStep waitFor(TimeSpan delay) {
    return new NextStep(null, null, NONE, delay);
  }
}
