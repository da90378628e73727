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

  Placement after(AttemptOutcome outcome, Timestamp now);

  NextStep pause(Timestamp now);

  void listed(List<EndpointStatus> list, boolean whole, Timestamp now);

  void progressed(RequestId command, int send, double share, Timestamp now);

  void departed(RequestId command, Timestamp now);

  /** Another one, and what is done beside it. */
  class Passing implements Policy {
    private final Policy to;

    Passing(Policy to) {
      this.to = to;
    }

    @Override
    public Placement place(Request command, Timestamp now) {
      return to.place(command, now);
    }

    @Override
    public Placement after(AttemptOutcome outcome, Timestamp now) {
      return to.after(outcome, now);
    }

    @Override
    public NextStep pause(Timestamp now) {
      return to.pause(now);
    }

    @Override
    public void listed(List<EndpointStatus> list, boolean whole, Timestamp now) {
      to.listed(list, whole, now);
    }

    @Override
    public void progressed(RequestId command, int send, double share, Timestamp now) {
      to.progressed(command, send, share, now);
    }

    @Override
    public void departed(RequestId command, Timestamp now) {
      to.departed(command, now);
    }
  }

  /** The decision module itself. */
  static Policy module(Dispatcher d) {
    return new Policy() {
      @Override
      public Placement place(Request command, Timestamp now) {
        return d.place(command, now);
      }

      @Override
      public Placement after(AttemptOutcome outcome, Timestamp now) {
        return d.completeAttempt(outcome, now);
      }

      @Override
      public NextStep pause(Timestamp now) {
        return d.next(now);
      }

      @Override
      public void listed(List<EndpointStatus> list, boolean whole, Timestamp now) {
        d.updateEndpoints(list, whole, now);
      }

      @Override
      public void progressed(RequestId command, int send, double share, Timestamp now) {
        d.updateProgress(command, send, share, now);
      }

      @Override
      public void departed(RequestId command, Timestamp now) {
        d.clientLeft(command, now);
      }
    };
  }
}
