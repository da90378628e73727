package cobaltseam.dispatch;

import java.util.Comparator;

/** One attempt at a request, from the time it is sent until its outcome is known. */
final class Attempt {
  /** By the time of cancellation, then by the order of arrival of the requests. */
  static final Comparator<Attempt> BY_CANCEL_TIME =
      Comparator.comparingLong((Attempt a) -> a.cancelAt.us())
          .thenComparingLong(a -> a.arrivalNumber);

  private final Request request;
  private final long arrivalNumber;
  private final int number;
  private final Timestamp sentAt;
  private final TimeSpan expectedLatency;
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
    expectedLatency = requestClass.usualLatency(request);
    memoryGrantMb = requestClass.memoryNeed().grantMb(request.memoryMb());
  }

  Request request() {
    return request;
  }

  RequestClassStats requestClass() {
    return requestClass;
  }

  /** Continues under the class that other settings give its request. */
  void setRequestClass(RequestClassStats other) {
    requestClass = other;
  }

  /** Counts from 0 for each request. */
  int number() {
    return number;
  }

  Timestamp sentAt() {
    return sentAt;
  }

  TimeSpan expectedLatency() {
    return expectedLatency;
  }

  /** Threads of its engine that it counts for. */
  double threads() {
    return threads;
  }

  /** In megabytes; 0 if the engine chooses. */
  double memoryGrantMb() {
    return memoryGrantMb;
  }

  /** When it is to be cancelled unless reports of progress change that; null if it never is. */
  Timestamp cancelAt() {
    return cancelAt;
  }

  void setCancelAt(Timestamp when) {
    cancelAt = when;
  }

  double memoryShortfallMb() {
    return memoryShortfallMb;
  }

  void reportMemoryShortfall(double missingMb) {
    memoryShortfallMb = missingMb;
  }

  /** Learns what memory its class needs; {@code usedMb} is zero or less if unknown. */
  void learnMemoryNeed(double usedMb) {
    requestClass.memoryNeed().learn(request.memoryMb(), memoryGrantMb, memoryShortfallMb, usedMb);
  }

  /** Whether this is the first time that it is found slow. */
  boolean markSlow() {
    boolean first = !slow;
    slow = true;
    return first;
  }

  /** Whether it was reported to wait for a load of the data set that it reads. */
  boolean isBlocked() {
    return blocked;
  }

  void markBlocked() {
    blocked = true;
  }
}
