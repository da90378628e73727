package cobaltseam.service;

import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.postgres.Statement;
import cobaltseam.resp.Result;

/** One send of a command, from its hand-over to the engines until its one outcome. */
final class Attempt {
  final RequestId command;
  final int number;
  final EngineId engine;
  final Statement statement;
  final Timestamp at;
  final Timestamp until;

  /** It must not begin later than this; null if it may begin at any time. */
  Timestamp startBy;

  Timers.Timer timeout;
  EngineConnection connection;

  /** Its place among what was written to its connection; zero while it is not. */
  long position;

  boolean over;

  /** Null until the first page has come. */
  Result result;

  /** The engine's load as last reported, below zero where it was not. */
  double queue = -1;

  double inHand = -1;

  Attempt(
      RequestId command,
      int number,
      EngineId engine,
      Statement statement,
      Timestamp at,
      Timestamp until) {
    this.command = command;
    this.number = number;
    this.engine = engine;
    this.statement = statement;
    this.at = at;
    this.until = until;
  }

  String call() {
    return statement.call();
  }
}
