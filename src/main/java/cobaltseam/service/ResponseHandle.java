package cobaltseam.service;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.resp.Result;

/**
 * Receives the final answer of a request: at most one of {@link #complete}, {@link #shed} and
 * {@link #fail} is called, and at most once.
 */
interface ResponseHandle {
  /** The request has a result. */
  void complete(Result result);

  /**
   * The request was shed; a retry is safe.
   *
   * @param retryAfter after how long to retry; zero if unknown
   */
  void shed(TimeSpan retryAfter);

  /** The request failed, and may have run. */
  void fail();

  /**
   * Whether the client has disconnected or cancelled the request, as far as the I/O thread has
   * read. This may be true before {@link RequestTable#clientDisconnected} is called.
   */
  boolean isClientDisconnected();

  /** Whether input of the client is known to be unread, behind which it may have disconnected. */
  boolean hasUnreadInput();

  /** Runs a task on the event-loop thread when that input is read. */
  void runWhenRead(Runnable task);
}
