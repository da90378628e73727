package cobaltseam.dispatch;

import java.util.List;

/** What a dispatcher is told of its deployment when it starts; absent figures are null. */
public record Deployment(
    int number,
    int dispatchers,
    List<Profile> profiles,
    List<Kind> kinds,
    List<Share> shares,
    double overShareWorth,
    Rules rules,
    Means means,
    Place place) {
  public Deployment(
      int number,
      int dispatchers,
      List<Profile> profiles,
      List<Kind> kinds,
      List<Share> shares,
      double overShareWorth,
      Rules rules,
      Means means) {
    this(number, dispatchers, profiles, kinds, shares, overShareWorth, rules, means, Place.UNTOLD);
  }

  /**
   * Where this dispatcher stands, if that is told, and whether sends to other locations cost
   * something.
   */
  public record Place(LocationId location, boolean crossingCosts) {
    public static final Place UNTOLD = new Place(null, false);
  }

  /** How often a command may run. */
  public enum Repeat {
    REPLAYABLE,
    UNIQUED,
    NON_REPLAYABLE
  }

  /** The engines that drop repeats of a uniqued command. */
  public enum Scope {
    ALL,
    LOCATION,
    GROUP
  }

  /**
   * A class of commands. The latency target grows by {@code stretch} times the work over the
   * threads. Null locations or kinds mean any. A load holds its data set on its engine until it
   * ends; commands of profiles that wait, and read that set there, stand still meanwhile.
   */
  public record Profile(
      ProfileId id,
      int threads,
      double benefit,
      double lateBenefit,
      Span latencyTarget,
      double stretch,
      Span clientTimeout,
      Repeat repeat,
      Scope scope,
      Span remembered,
      boolean inOrder,
      List<LocationId> locations,
      List<KindId> onKinds,
      boolean load,
      boolean waits) {
    public Profile(
        ProfileId id,
        int threads,
        double benefit,
        double lateBenefit,
        Span latencyTarget,
        double stretch,
        Span clientTimeout,
        Repeat repeat,
        Scope scope,
        Span remembered,
        boolean inOrder,
        List<LocationId> locations,
        List<KindId> onKinds) {
      this(
          id,
          threads,
          benefit,
          lateBenefit,
          latencyTarget,
          stretch,
          clientTimeout,
          repeat,
          scope,
          remembered,
          inOrder,
          locations,
          onKinds,
          false,
          false);
    }
  }

  /** A kind of machine; a memory of zero is not told. */
  public record Kind(KindId id, double cores, double memoryMb) {}

  /** One holder's part of the service; the rate counts all dispatchers. */
  public record Share(ShareId id, double perSecond) {}

  /** The figures of the rules. */
  public record Rules(
      double coldFrom,
      Span warmWithin,
      double fallMultiple,
      Span fallWindow,
      Span keyRest,
      Double furtherFree,
      Double furtherRatio,
      Span furtherWindow) {}

  /**
   * What a dispatcher may do here, how fine its clock is, how often progress, spills and waits are
   * told (zero: never), and whether engines heed a grant of memory.
   */
  public record Means(
      Span tick,
      int mostSends,
      boolean cancels,
      boolean priorities,
      boolean comeBack,
      Span longestComeBack,
      Span noteEvery,
      boolean grants) {
    public Means(
        Span tick,
        int mostSends,
        boolean cancels,
        boolean priorities,
        boolean comeBack,
        Span longestComeBack,
        Span noteEvery) {
      this(tick, mostSends, cancels, priorities, comeBack, longestComeBack, noteEvery, true);
    }
  }
}
