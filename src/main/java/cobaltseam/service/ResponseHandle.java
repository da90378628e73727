package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.resp.Result;

/** Gets the final answer of a request: at most one of the first three is called, once. */
interface ResponseHandle {
  void complete(Result result);

  /**
   * The request was shed; a retry is harmless.
   *
   * @param retryAfter when a retry is worthwhile; zero if nothing is known
   */
  void shed(TimeSpan retryAfter);

  void fail();

  /**
   * Whether nobody waits any more, as far as the I/O thread has read; this may be known before
   * {@link RequestTable#clientDisconnected} is called.
   */
  boolean isClientDisconnected();
}
