package cobaltseam.service;

import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.postgres.Statement;
import cobaltseam.resp.Result;

/** One attempt of a request on one engine, until its one outcome; the event-loop thread's own. */
final class Attempt {
  final RequestId requestId;
  final int number;
  final EngineId engine;
  final Statement statement;
  final Timestamp startedAt;

  /** When it times out. */
  final Timestamp deadline;

  /** It must not be written later than this; null if it may be written at any time. */
  Timestamp startBy;

  Timers.Timer timeout;

  /** The connection that it is or will be written to; null if none could be had. */
  EngineConnection connection;

  /** Its place among the messages written to its connection, from 1; zero while not written. */
  long writePosition;

  boolean hasEnded;

  /** Null until the first page has come. */
  Result result;

  /** Requests queued on the engine as last reported with this attempt; below zero if never. */
  double reportedQueueLength = -1;

  /** Requests in flight on the engine as last reported with this attempt; below zero if never. */
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

  /** The id of the request on the engines' wire. */
  String callId() {
    return statement.callId();
  }
}
