package cobaltseam.dispatch;

import cobaltseam.dispatch.Dispatcher.Bounds;
import cobaltseam.dispatch.Dispatcher.Cold;
import cobaltseam.dispatch.Dispatcher.Evidence;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/**
 * What {@link Dispatcher} keeps, by how long it lives: fields alone. What becomes of them is
 * decided there.
 */
final class State {
  private State() {}

  /** One profile: the few figures that decisions use, and what its commands have shown. */
  static final class Way {
    int index, threads, priority;
    double benefit, lateBenefit, stretch;
    TimeSpan target, clientTimeout;
    Bounds bounds;

    /** Of earlier settings: what was taken goes on, nothing new is. */
    boolean gone;

    /** Usual latency over the estimated work a thread; usual work of one command, on one thread. */
    double usual = 1, usualWork;

    long answers, known;

    /**
     * Logarithm of how far answers lie over that at their mean, while engines have room; how many
     * told.
     */
    double scatter;

    long calm;

    /** How much may be borrowed at an engine that was not heard lately, from 0 to 1. */
    double borrowed;

    /** Memory answers needed, over the estimate where there is one; how many told it. */
    double need;

    long needs;

    /**
     * How slow its answers are, of all engines; narrow profiles may be quick where wide ones wait.
     */
    Evidence slow = new Evidence();

    /** Takes over what the same profile showed under earlier settings. */
    void learnt(Way old) {
      usual = old.usual;
      usualWork = old.usualWork;
      known = old.known;
      answers = old.answers;
      scatter = old.scatter;
      calm = old.calm;
      need = old.need;
      needs = old.needs;
      slow = old.slow;
    }
  }

  /** A budget of further sends; one of earlier settings ends once its window has passed. */
  record Ration(double free, double ratio, TimeSpan window, Timestamp until) {
    Ration until(Timestamp ends) {
      return new Ration(free, ratio, window, ends);
    }

    boolean same(Deployment.Rules as) {
      return free == as.freeRetries()
          && ratio == as.retryRatio()
          && window.equals(as.retryWindow());
    }
  }

  /** One holder of a share: what it may send before it counts as over its share. */
  static final class Holder {
    double perSecond, portion, tokens;
    Timestamp filled;

    /** What the same holder has left of earlier settings' part; null where it had none. */
    void spent(Holder old) {
      if (old != null) {
        tokens = old.tokens;
        filled = old.filled;
      }
    }
  }

  /** One engine, for as long as it is listed or holds sends. */
  static final class Engine {
    EngineId id;
    LocationId location;
    MachineTypeId kind;
    GroupId group;
    EndpointState standing;
    Timestamp started, drawn, heard, reported;
    Cold cold;
    double cores, whole, memoryPerThread;

    /** Threads this dispatcher counts there, of sends without outcome. */
    double threads;

    /** Commands in hand there, of all dispatchers, as last reported; below zero if never. */
    double inHand = -1;

    final List<Sent> out = new ArrayList<>();

    /** Per profile: how much of the other dispatchers' budget may be borrowed, from 0 to 1. */
    double[] borrowed;

    /** Logarithm of slowness over all profiles, and share of failures; both fade with time. */
    final Evidence slow = new Evidence(), failing = new Evidence();

    /** How slow it is taken to be: a logarithm, over all profiles. */
    double slowness;

    double draw;

    /** Work that it may be sent until the next draw while it is cold. */
    double coldWork;

    /** This moment's part of its budget, from its health and warmth. */
    double health = 1;
  }

  /** One command, until its final answer and the outcome of its last send. */
  static final class Cmd {
    Request command;
    Way way;
    Bounds bounds;
    long turn;
    Timestamp takenAt, targetAt, giveUpAt;
    boolean overShare, drop, late, over;

    /** While held: its benefit for its threads' time, and that time. */
    double density, threadTime;

    int sends;
    Sent out;

    /** Where sends of it stood still behind a load, and when; null if none did. */
    Map<Engine, Timestamp> blockedAt;

    /** The first send that may have run: its engine's group and location, and when it left. */
    Timestamp mayHaveRunSince;

    GroupId group;
    LocationId location;
  }

  /** One send without outcome. */
  static final class Sent {
    Cmd cmd;
    Engine engine;
    int number;
    Timestamp at;

    /** When it is called off, if its progress may still change that. */
    Timestamp cutAt;

    TimeSpan expected;
    double threads;

    /**
     * Memory that it was granted, and of that what it was told to lack; a grant of 0 is the
     * engine's.
     */
    double grantMb, missingMb;

    boolean slow, blocked;
  }

  /** Commands with one key, in the order taken, and until when the key rests. */
  static final class Line {
    final Deque<Cmd> queue = new ArrayDeque<>();
    Timestamp restUntil;
  }
}
