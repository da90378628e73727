package cobaltseam.dispatch;

import java.util.Comparator;

/** One attempt at a request, from the time it is sent until its outcome is known. */
final class Attempt {
  /** Orders attempts by cancellation time, then by the arrival of their requests. */
  static final Comparator<Attempt> BY_CANCEL_TIME =
      Comparator.comparingLong((Attempt a) -> a.cancelAt.us())
          .thenComparingLong(a -> a.arrivalNumber);

  private final Request request;
  private final long arrivalNumber;
  private final int number;
  private final Timestamp sentAt;
  private final TimeSpan baselineLatency;
  private final double threads;
  private final double memoryGrantMb;
  private RequestClassStats requestClass;
  private Timestamp cancelAt;
  private double memoryShortfallMb;
  private boolean slow;
  private boolean blocked;

  Attempt(
      Request request,
      RequestClassStats requestClass,
      long arrivalNumber,
      int number,
      Timestamp sentAt,
      double threads) {
    this.request = request;
    this.requestClass = requestClass;
    this.arrivalNumber = arrivalNumber;
    this.number = number;
    this.sentAt = sentAt;
    this.threads = threads;
    baselineLatency = requestClass.baselineLatency(request);
    memoryGrantMb = requestClass.memoryNeed().grantMb(request.memoryMb());
  }

  Request request() {
    return request;
  }

  RequestClassStats requestClass() {
    return requestClass;
  }

  /** Sets the class that changed settings assign to the request of this attempt. */
  void setRequestClass(RequestClassStats other) {
    requestClass = other;
  }

  /** Returns the number of this attempt; the attempts of each request are numbered from 0. */
  int number() {
    return number;
  }

  Timestamp sentAt() {
    return sentAt;
  }

  TimeSpan baselineLatency() {
    return baselineLatency;
  }

  /** Returns the threads of its engine that this attempt counts for. */
  double threads() {
    return threads;
  }

  /** Returns the granted memory in megabytes; 0 if the engine chooses. */
  double memoryGrantMb() {
    return memoryGrantMb;
  }

  /**
   * Returns when this attempt is to be cancelled unless a progress report changes that; null if it
   * is never cancelled before its timeout.
   */
  Timestamp cancelAt() {
    return cancelAt;
  }

  void setCancelAt(Timestamp newCancelAt) {
    cancelAt = newCancelAt;
  }

  /** Returns the reported memory shortfall in megabytes; 0 if none was reported. */
  double memoryShortfallMb() {
    return memoryShortfallMb;
  }

  void reportMemoryShortfall(double missingMb) {
    memoryShortfallMb = missingMb;
  }

  /**
   * Updates the estimate of the memory that its class needs; {@code usedMb} is zero or less if
   * unknown.
   */
  void updateMemoryNeed(double usedMb) {
    requestClass.memoryNeed().update(request.memoryMb(), memoryGrantMb, memoryShortfallMb, usedMb);
  }

  /** Marks this attempt as slow and returns whether it was not marked before. */
  boolean markSlow() {
    boolean isFirstMark = !slow;
    slow = true;
    return isFirstMark;
  }

  /** Returns whether this attempt was reported to wait for a load of the data set that it reads. */
  boolean isBlocked() {
    return blocked;
  }

  void markBlocked() {
    blocked = true;
  }
}
