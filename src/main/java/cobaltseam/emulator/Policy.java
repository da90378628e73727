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

  /** The policy that the service runs. */
  static Policy ofDispatcher(Dispatcher dispatcher) {
    return new Policy() {
      @Override
      public Placement place(Request command, Timestamp now) {
        return dispatcher.place(command, now);
      }

      @Override
      public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
        return dispatcher.completeAttempt(outcome, now);
      }

      @Override
      public NextStep next(Timestamp now) {
        return dispatcher.next(now);
      }

      @Override
      public void updateEndpoints(List<EndpointStatus> list, boolean whole, Timestamp now) {
        dispatcher.updateEndpoints(list, whole, now);
      }

      @Override
      public void updateProgress(RequestId command, int send, double share, Timestamp now) {
        dispatcher.updateProgress(command, send, share, now);
      }

      @Override
      public void clientLeft(RequestId command, Timestamp now) {
        dispatcher.clientDisconnected(command, now);
      }
    };
  }
}
