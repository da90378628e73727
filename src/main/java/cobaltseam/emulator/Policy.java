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

/**
 * The calls of a {@link Dispatcher} that the emulator uses, so that baselines can take its place.
 * The methods have the contracts of the dispatcher's.
 */
interface Policy {
  Placement place(Request request, Timestamp now);

  Placement completeAttempt(AttemptOutcome outcome, Timestamp now);

  NextStep next(Timestamp now);

  void updateEndpoints(List<EndpointStatus> list, boolean complete, Timestamp now);

  void updateProgress(RequestId id, int attempt, double fraction, Timestamp now);

  void clientDisconnected(RequestId id, Timestamp now);

  /** Passes every call on to another policy; subclasses override what they add to. */
  class DelegatingPolicy implements Policy {
    private final Policy delegate;

    DelegatingPolicy(Policy delegate) {
      this.delegate = delegate;
    }

    @Override
    public Placement place(Request request, Timestamp now) {
      return delegate.place(request, now);
    }

    @Override
    public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
      return delegate.completeAttempt(outcome, now);
    }

    @Override
    public NextStep next(Timestamp now) {
      return delegate.next(now);
    }

    @Override
    public void updateEndpoints(List<EndpointStatus> list, boolean complete, Timestamp now) {
      delegate.updateEndpoints(list, complete, now);
    }

    @Override
    public void updateProgress(RequestId id, int attempt, double fraction, Timestamp now) {
      delegate.updateProgress(id, attempt, fraction, now);
    }

    @Override
    public void clientDisconnected(RequestId id, Timestamp now) {
      delegate.clientDisconnected(id, now);
    }
  }

  /** The policy of a dispatcher, as the service runs it. */
  static Policy ofDispatcher(Dispatcher dispatcher) {
    return new Policy() {
      @Override
      public Placement place(Request request, Timestamp now) {
        return dispatcher.place(request, now);
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
      public void updateEndpoints(List<EndpointStatus> list, boolean complete, Timestamp now) {
        dispatcher.updateEndpoints(list, complete, now);
      }

      @Override
      public void updateProgress(RequestId id, int attempt, double fraction, Timestamp now) {
        dispatcher.updateProgress(id, attempt, fraction, now);
      }

      @Override
      public void clientDisconnected(RequestId id, Timestamp now) {
        dispatcher.clientDisconnected(id, now);
      }
    };
  }
}
