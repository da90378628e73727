package cobaltseam.service;

import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.postgres.Statement;
import cobaltseam.resp.Result;

/**
 * One attempt of a request on one engine, from its start to its single outcome. Confined to the
 * event-loop thread.
 */
final class Attempt {
  final RequestId requestId;
  final int number;
  final EngineId engine;
  final Statement statement;
  final Timestamp startedAt;

  /** When the attempt times out, unless its timeout is extended. */
  final Timestamp deadline;

  /**
   * The time from which on this attempt must not be written to its connection; null if it may be
   * written at any time.
   */
  Timestamp startBy;

  /** Ends the attempt when its deadline has passed. */
  Timers.Timer timeout;

  /** The connection that this attempt is or will be written to; null if none was available. */
  EngineConnection connection;

  /**
   * The position of this attempt among the messages written to its connection, from 1; zero while
   * it is not written.
   */
  long writePosition;

  boolean hasEnded;

  /** The pages received so far; null until the first page is received. */
  Result result;

  /** The number of status reports that the engine has written for this attempt. */
  long statusReports;

  /** The engine's queue length as last reported for this attempt; negative if never reported. */
  double reportedQueueLength = -1;

  /**
   * The number of requests in flight on the engine as last reported for this attempt; negative if
   * never reported.
   */
  double reportedInFlight = -1;

  Attempt(
      RequestId requestId,
      int number,
      EngineId engine,
      Statement statement,
      Timestamp startedAt,
      Timestamp deadline) {
    this.requestId = requestId;
    this.number = number;
    this.engine = engine;
    this.statement = statement;
    this.startedAt = startedAt;
    this.deadline = deadline;
  }

  /** Returns the call id by which messages to and from engines name the request. */
  String callId() {
    return statement.callId();
  }
}
