package cobaltseam.emulator;

import cobaltseam.dispatch.Command;
import cobaltseam.dispatch.CommandId;
import cobaltseam.dispatch.Dispatcher;
import cobaltseam.dispatch.Listing;
import cobaltseam.dispatch.Moment;
import cobaltseam.dispatch.Outcome;
import cobaltseam.dispatch.Pause;
import cobaltseam.dispatch.Placement;
import java.util.List;

/** The module's own calls, so that others can be put in its place. */
interface Policy {
  Placement place(Command command, Moment now);

  Placement after(Outcome outcome, Moment now);

  Pause pause(Moment now);

  void listed(List<Listing> list, boolean whole, Moment now);

  void progressed(CommandId command, int send, double share, Moment now);

  void departed(CommandId command, Moment now);

  /** Another one, and what is done beside it. */
  class Passing implements Policy {
    private final Policy to;

    Passing(Policy to) {
      this.to = to;
    }

    @Override
    public Placement place(Command command, Moment now) {
      return to.place(command, now);
    }

    @Override
    public Placement after(Outcome outcome, Moment now) {
      return to.after(outcome, now);
    }

    @Override
    public Pause pause(Moment now) {
      return to.pause(now);
    }

    @Override
    public void listed(List<Listing> list, boolean whole, Moment now) {
      to.listed(list, whole, now);
    }

    @Override
    public void progressed(CommandId command, int send, double share, Moment now) {
      to.progressed(command, send, share, now);
    }

    @Override
    public void departed(CommandId command, Moment now) {
      to.departed(command, now);
    }
  }

  /** The decision module itself. */
  static Policy module(Dispatcher d) {
    return new Policy() {
      @Override
      public Placement place(Command command, Moment now) {
        return d.place(command, now);
      }

      @Override
      public Placement after(Outcome outcome, Moment now) {
        return d.after(outcome, now);
      }

      @Override
      public Pause pause(Moment now) {
        return d.pause(now);
      }

      @Override
      public void listed(List<Listing> list, boolean whole, Moment now) {
        d.listed(list, whole, now);
      }

      @Override
      public void progressed(CommandId command, int send, double share, Moment now) {
        d.progressed(command, send, share, now);
      }

      @Override
      public void departed(CommandId command, Moment now) {
        d.departed(command, now);
      }
    };
  }
}
