package cobaltseam.emulator;

import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.Deployment.Capabilities;
import cobaltseam.dispatch.Deployment.DeduplicationScope;
import cobaltseam.dispatch.Deployment.MachineType;
import cobaltseam.dispatch.Deployment.Quota;
import cobaltseam.dispatch.Deployment.RetrySafety;
import cobaltseam.dispatch.Deployment.Rules;
import cobaltseam.dispatch.MachineTypeId;
import cobaltseam.dispatch.RequestClassId;
import cobaltseam.dispatch.TenantId;
import cobaltseam.dispatch.TimeSpan;
import java.util.List;

/** What an emulated deployment is made of; every figure is the world's own. */
public record EmulatedSite(
    String name,
    Engines engines,
    int dispatchers,
    List<Profile> profiles,
    List<Tenant> holders,
    Load load,
    Network net,
    Discovery roster,
    Limits limits) {
  /**
   * The engines: how many, their cores, the spread of their speeds around 1, threads a core up to
   * which all cores do work, how much work falls for each thread a core beyond, sessions at most,
   * the part of its work that one can do when it starts and for how long it warms up, memory, how
   * much work grows for a command with none of the memory it needs, how many data sets stay warm,
   * and how much less work reading a warm one is.
   */
  public record Engines(
      int count,
      double cores,
      double speedSpread,
      double knee,
      double fall,
      int sessions,
      double coldFrom,
      double warmS,
      double memoryMb,
      double spill,
      int warmSets,
      double warmGain,
      int locations,
      int groups,
      double errors) {}

  /** One profile of commands, by its part of all that come. */
  public record Profile(
      String name,
      double part,
      int threads,
      double workMs,
      double cv,
      double benefit,
      double lateBenefit,
      double targetMs,
      double timeoutMs,
      double stretch,
      RetrySafety repeat,
      DeduplicationScope scope,
      double rememberedMs,
      double memoryMb,
      boolean inOrder,
      double badPlans,
      double badTimes,
      List<String> locations) {
    TimeSpan target() {
      return ms(targetMs);
    }

    TimeSpan timeout() {
      return ms(timeoutMs);
    }
  }

  /** One holder of a share: its part of the traffic, and how many commands a second it is due. */
  public record Tenant(String name, double part, double perSecond) {}

  /**
   * What comes: commands a second, how much that swings in how many seconds, how often bursts come
   * and how much more they bring for how long, how skewed data sets are, how often clients ask
   * again, and closed clients that ask one at a time with a pause between. Dispatchers carry parts
   * as 1 / rank to the power of their skew; without one all carry alike.
   */
  public record Load(
      double perSecond,
      double swing,
      double swingS,
      double burstEveryS,
      double burstTimes,
      double burstS,
      int dataSets,
      double skew,
      int retries,
      double estimateError,
      int closedClients,
      double thinkMs,
      Double dispatcherSkew) {}

  /**
   * One way between dispatchers and engines, its spread, and between clients and dispatchers, in
   * milliseconds.
   */
  public record Network(double oneWayMs, double jitter, double clientMs) {}

  /** How late a dispatcher hears of changes: at the least, and how much more by chance. */
  public record Discovery(double lagMs, double spreadMs) {}

  /** What a dispatcher may do. */
  public record Limits(
      int mostSends,
      boolean cancels,
      double progressMs,
      double comeBackMs,
      double drainGraceMs,
      double fallMultiple,
      double fallWindowMs,
      double keyRestMs,
      Double furtherFree,
      Double furtherRatio,
      double furtherWindowMs) {}

  static final String KIND = "emulated";

  static TimeSpan ms(double ms) {
    return new TimeSpan(Math.round(ms * 1000));
  }

  /** What the module is told of this world, as the dispatcher of a number. */
  Deployment deployment(int number) {
    return new Deployment(
        number,
        dispatchers,
        profiles.stream()
            .map(
                p ->
                    new Deployment.RequestClass(
                        new RequestClassId(p.name()),
                        p.threads(),
                        p.benefit(),
                        p.lateBenefit(),
                        p.target(),
                        p.stretch(),
                        p.timeout(),
                        p.repeat(),
                        p.scope(),
                        ms(p.rememberedMs()),
                        p.inOrder(),
                        p.locations() == null
                            ? null
                            : p.locations().stream()
                                .map(cobaltseam.dispatch.LocationId::new)
                                .toList(),
                        null))
            .toList(),
        List.of(new MachineType(new MachineTypeId(KIND), engines.cores(), engines.memoryMb())),
        holders.stream().map(h -> new Quota(new TenantId(h.name()), h.perSecond())).toList(),
        0.05,
        new Rules(
            engines.coldFrom(),
            ms(engines.warmS() * 1000),
            limits.fallMultiple(),
            ms(limits.fallWindowMs()),
            ms(limits.keyRestMs()),
            limits.furtherFree(),
            limits.furtherRatio(),
            limits.furtherFree() == null ? null : ms(limits.furtherWindowMs())),
        new Capabilities(
            new TimeSpan(1000),
            limits.mostSends(),
            limits.cancels(),
            false,
            limits.comeBackMs() > 0,
            ms(limits.comeBackMs()),
            ms(limits.progressMs())));
  }

  /**
   * Commands a second that keep every core busy, at the mean work of a command and engines of speed
   * 1.
   */
  double capacity() {
    double mean =
        profiles.stream()
                .mapToDouble(p -> p.part() * p.workMs() * (1 + p.badPlans() * (p.badTimes() - 1)))
                .sum()
            / profiles.stream().mapToDouble(Profile::part).sum();
    return engines.count() * engines.cores() * 1000 / mean;
  }
}
