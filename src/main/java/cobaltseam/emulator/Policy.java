package cobaltseam.emulator;

import cobaltseam.dispatch.AttemptOutcome;
import cobaltseam.dispatch.Dispatcher;
import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.NextStep;
import cobaltseam.dispatch.Placement;
import cobaltseam.dispatch.Request;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.Timestamp;
import java.util.List;

/** The module's own calls, so that others can be put in its place. */
interface Policy {
  Placement place(Request command, Timestamp now);

  Placement completeAttempt(AttemptOutcome outcome, Timestamp now);

  NextStep next(Timestamp now);

  void updateEndpoints(List<EndpointStatus> list, boolean whole, Timestamp now);

  void updateProgress(RequestId command, int send, double share, Timestamp now);

  void clientLeft(RequestId command, Timestamp now);

  /** Another one, and what is done beside it. */
  class DelegatingPolicy implements Policy {
    private final Policy to;

    DelegatingPolicy(Policy to) {
      this.to = to;
    }

    @Override
    public Placement place(Request command, Timestamp now) {
      return to.place(command, now);
    }

    @Override
    public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
      return to.completeAttempt(outcome, now);
    }

    @Override
    public NextStep next(Timestamp now) {
      return to.next(now);
    }

    @Override
    public void updateEndpoints(List<EndpointStatus> list, boolean whole, Timestamp now) {
      to.updateEndpoints(list, whole, now);
    }

    @Override
    public void updateProgress(RequestId command, int send, double share, Timestamp now) {
      to.updateProgress(command, send, share, now);
    }

    @Override
    public void clientLeft(RequestId command, Timestamp now) {
      to.clientLeft(command, now);
    }
  }

  /** The decision module itself. */
  static Policy ofDispatcher(Dispatcher d) {
    return new Policy() {
      @Override
      public Placement place(Request command, Timestamp now) {
        return d.place(command, now);
      }

      @Override
      public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
        return d.completeAttempt(outcome, now);
      }

      @Override
      public NextStep next(Timestamp now) {
        return d.next(now);
      }

      @Override
      public void updateEndpoints(List<EndpointStatus> list, boolean whole, Timestamp now) {
        d.updateEndpoints(list, whole, now);
      }

      @Override
      public void updateProgress(RequestId command, int send, double share, Timestamp now) {
        d.updateProgress(command, send, share, now);
      }

      @Override
      public void clientLeft(RequestId command, Timestamp now) {
        d.clientLeft(command, now);
      }
    };
  }
}
