package cobaltseam.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.dispatch.AttemptOutcome;
import cobaltseam.dispatch.Dispatcher;
import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EndpointStatus.EndpointState;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.NextStep;
import cobaltseam.dispatch.Placement;
import cobaltseam.dispatch.Placement.Decision;
import cobaltseam.dispatch.Request;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.emulator.InvariantChecker.Rule;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests the invariant checker: the dispatcher keeps all rules, and each mutant of it, which breaks
 * a rule on purpose, is detected. Also tests that runs are reproducible.
 */
class InvariantCheckerTest {
  private static final double SECONDS = 20;

  /** A policy that delegates to the dispatcher; subclasses break a rule. */
  private static class Mutant implements Policy {
    final Policy delegate;
    final Map<RequestId, Request> requests = new HashMap<>();

    Mutant(Policy delegate) {
      this.delegate = delegate;
    }

    @Override
    public Placement place(Request request, Timestamp now) {
      requests.put(request.id(), request);
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

  private interface Mutation {
    Policy apply(Policy policy);
  }

  private static EmulatedSite includedSite() {
    return EmulatedSites.named("hall");
  }

  private static InvariantChecker run(
      EmulatedSite site, List<Fault> faults, Mutation mutation, long seed) {
    Simulation simulation =
        new Simulation(
            site,
            (deployment, policySeed, unused) ->
                mutation.apply(Policy.ofDispatcher(new Dispatcher(deployment, policySeed))),
            faults,
            SECONDS,
            seed);
    simulation.run();
    return simulation.invariants();
  }

  private static EmulatedSite withLimits(EmulatedSite site, EmulatedSite.Limits limits) {
    return new EmulatedSite(
        site.name(),
        site.engines(),
        site.dispatchers(),
        site.requestClasses(),
        site.tenants(),
        site.load(),
        site.network(),
        site.discovery(),
        limits);
  }

  private static EmulatedSite siteWithRetryBudget() {
    EmulatedSite.Limits limits = includedSite().limits();
    return withLimits(
        includedSite(),
        new EmulatedSite.Limits(
            limits.maxAttempts(),
            limits.canCancel(),
            limits.progressMs(),
            limits.maxRetryAfterMs(),
            limits.drainGraceMs(),
            limits.slowStartLimitFactor(),
            limits.slowStartWindowMs(),
            limits.sequenceKeyRestMs(),
            2.0,
            0.02,
            2000));
  }

  @Test
  void dispatcherKeepsAllRulesUnderRandomFaults() {
    for (long seed = 1; seed <= 12; seed++) {
      EmulatedSite site = seed % 3 == 0 ? siteWithRetryBudget() : includedSite();
      InvariantChecker invariants = run(site, Fault.random(site, SECONDS, 8, seed), m -> m, seed);
      assertEquals(0, invariants.violationCount(), "seed " + seed + ": " + invariants.violations());
    }
  }

  @Test
  void sameSeedRepeatsAllDecisionsAndAnotherSeedDoesNot() {
    List<Fault> faults = Fault.random(includedSite(), SECONDS, 8, 5);
    long hash =
        new Simulation(includedSite(), PolicyCatalog.named("module"), faults, SECONDS, 5)
            .run()
            .hash();
    assertEquals(
        hash,
        new Simulation(includedSite(), PolicyCatalog.named("module"), faults, SECONDS, 5)
            .run()
            .hash());
    assertNotEquals(
        hash,
        new Simulation(includedSite(), PolicyCatalog.named("module"), faults, SECONDS, 6)
            .run()
            .hash());
    assertEquals(faults, Fault.random(includedSite(), SECONDS, 8, 5));
  }

  /**
   * Guards against events that are deferred for a killed dispatcher, while a pause fault covers the
   * same time, and that its next incarnation would handle.
   */
  @Test
  void killedDispatcherDefersNoEventsForItsNextIncarnation() {
    List<Fault> faults =
        List.of(
            new Fault(Fault.Kind.KILL, 3, 6, List.of(0), 1, 0),
            new Fault(Fault.Kind.PAUSE, 4, 2, List.of(0), 1, 0),
            new Fault(Fault.Kind.DRAIN, 4.2, 2, List.of(1), 1, 0),
            new Fault(Fault.Kind.PAUSE, 8, 3, List.of(0), 1, 0));
    assertEquals(0, run(includedSite(), faults, m -> m, 1).violationCount());
  }

  @Test
  void ignoredDrainIsDetected() {
    List<Fault> faults = List.of(new Fault(Fault.Kind.DRAIN, 3, 10, List.of(0, 1, 2), 1, 0));
    InvariantChecker invariants =
        run(
            includedSite(),
            faults,
            m ->
                new Mutant(m) {
                  @Override
                  public void updateEndpoints(
                      List<EndpointStatus> list, boolean complete, Timestamp now) {
                    delegate.updateEndpoints(
                        list.stream()
                            .map(
                                status ->
                                    new EndpointStatus(
                                        status.engine(),
                                        status.location(),
                                        status.machineType(),
                                        status.group(),
                                        EndpointState.UP,
                                        status.startedAt()))
                            .toList(),
                        complete,
                        now);
                  }
                },
            1);
    assertTrue(invariants.count(Rule.DRAIN) > 0);
  }

  /** The mutant sends a second attempt while the first is open. */
  @Test
  void secondConcurrentAttemptIsDetected() {
    InvariantChecker invariants =
        run(
            includedSite(),
            List.of(),
            m ->
                new Mutant(m) {
                  private int placed;
                  private Request duplicated;

                  @Override
                  public Placement place(Request request, Timestamp now) {
                    if (request.equals(duplicated)) {
                      duplicated = null;
                      return Placement.send(new EngineId(2), new TimeSpan(1_000_000), -1);
                    }
                    Placement placement = super.place(request, now);
                    duplicated =
                        placement.decision() == Decision.SEND && ++placed % 50 == 0
                            ? request
                            : duplicated;
                    return placement;
                  }

                  @Override
                  public NextStep next(Timestamp now) {
                    return duplicated != null
                        ? NextStep.placeAgain(duplicated)
                        : delegate.next(now);
                  }
                },
            1);
    assertTrue(invariants.count(Rule.TWICE) > 0);
  }

  @Test
  void unansweredRequestsAreDetected() {
    InvariantChecker invariants =
        run(
            includedSite(),
            Fault.random(includedSite(), SECONDS, 8, 1),
            m ->
                new Mutant(m) {
                  private int dropped;

                  @Override
                  public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
                    Placement placement = delegate.completeAttempt(outcome, now);
                    return placement.decision() == Decision.SHED && ++dropped > 0
                        ? Placement.queue()
                        : placement;
                  }

                  @Override
                  public Placement place(Request request, Timestamp now) {
                    Placement placement = delegate.place(request, now);
                    return placement.decision() == Decision.SHED ? Placement.queue() : placement;
                  }
                },
            1);
    assertTrue(invariants.count(Rule.LOST) > 0);
  }

  /** Each mutant answers or sends on its own and breaks one rule. */
  @Test
  void violationsOfRetrySafetyOrderPlacementAndBudgetAreDetected() {
    List<Fault> failing =
        List.of(new Fault(Fault.Kind.FAIL, 2, 15, List.of(0, 1, 2, 3, 4, 5), 0.5, 0));
    Mutation unsafeRetries =
        m ->
            new Mutant(m) {
              private final List<Request> retries = new ArrayList<>();

              @Override
              public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
                Placement placement = delegate.completeAttempt(outcome, now);
                if (outcome.result() == AttemptOutcome.AttemptResult.ERROR
                    && placement.decision() != Decision.QUEUE) {
                  retries.add(requests.get(outcome.request()));
                  return Placement.queue();
                }
                return placement;
              }

              @Override
              public NextStep next(Timestamp now) {
                return retries.isEmpty() ? delegate.next(now) : NextStep.placeAgain(retries.get(0));
              }

              @Override
              public Placement place(Request request, Timestamp now) {
                if (!retries.isEmpty() && retries.get(0).equals(request)) {
                  retries.remove(0);
                  return Placement.send(new EngineId(7), new TimeSpan(1_000_000), -1);
                }
                return super.place(request, now);
              }
            };
    assertTrue(run(includedSite(), failing, unsafeRetries, 2).count(Rule.TWICE) > 0);
    Mutation unsafeSheds =
        m ->
            new Mutant(m) {
              @Override
              public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
                Placement placement = delegate.completeAttempt(outcome, now);
                return placement.decision() == Decision.FAIL
                    ? Placement.shed(TimeSpan.ZERO)
                    : placement;
              }
            };
    assertTrue(run(includedSite(), failing, unsafeSheds, 2).count(Rule.TWICE) > 0);
    Mutation outOfOrder =
        m ->
            new Mutant(m) {
              @Override
              public Placement place(Request request, Timestamp now) {
                Placement placement = super.place(request, now);
                return placement.decision() == Decision.QUEUE
                        && request.sequenceKey() != null
                        && !requests.containsKey(new RequestId("x" + request.id().value()))
                        && requests.put(new RequestId("x" + request.id().value()), request) == null
                    ? Placement.send(new EngineId(3), new TimeSpan(1_000_000), -1)
                    : placement;
              }
            };
    assertTrue(run(includedSite(), List.of(), outOfOrder, 2).count(Rule.ORDER) > 0);
    EmulatedSite.RequestClass template = includedSite().requestClasses().get(0);
    EmulatedSite restricted =
        new EmulatedSite(
            "restricted",
            includedSite().engines(),
            includedSite().dispatchers(),
            List.of(
                new EmulatedSite.RequestClass(
                    template.name(),
                    1,
                    template.threads(),
                    template.workMs(),
                    template.cv(),
                    1,
                    0,
                    template.objectiveMs(),
                    template.deadlineMs(),
                    0,
                    template.retrySafety(),
                    template.deduplicationScope(),
                    0,
                    0,
                    false,
                    0,
                    1,
                    List.of("l1"))),
            includedSite().tenants(),
            includedSite().load(),
            includedSite().network(),
            includedSite().discovery(),
            includedSite().limits());
    assertEquals(0, run(restricted, List.of(), m -> m, 2).violationCount());
    Mutation anyLocation =
        m ->
            new Mutant(m) {
              @Override
              public Placement place(Request request, Timestamp now) {
                Placement placement = super.place(request, now);
                return placement.decision() == Decision.SEND
                    ? Placement.send(new EngineId(1), placement.attemptTimeout(), -1)
                    : placement;
              }
            };
    assertTrue(run(restricted, List.of(), anyLocation, 2).count(Rule.PLACEMENT) > 0);
    EmulatedSite withoutBudget = includedSite();
    Mutation exceedsBudget =
        m -> Policy.ofDispatcher(new Dispatcher(withoutBudget.deployment(0), 3));
    assertTrue(run(siteWithRetryBudget(), failing, exceedsBudget, 2).count(Rule.BUDGET) > 0);
  }

  @Test
  void overloadOfEnginesInSlowStartIsDetected() {
    List<Fault> faults = List.of(new Fault(Fault.Kind.DIE, 3, 2, List.of(0, 1, 2, 3), 1, 0));
    EmulatedSite.Limits limits = includedSite().limits();
    EmulatedSite strict =
        withLimits(
            includedSite(),
            new EmulatedSite.Limits(
                limits.maxAttempts(),
                limits.canCancel(),
                limits.progressMs(),
                limits.maxRetryAfterMs(),
                limits.drainGraceMs(),
                0.3,
                limits.slowStartWindowMs(),
                limits.sequenceKeyRestMs(),
                null,
                null,
                0));
    Simulation simulation =
        new Simulation(strict, PolicyCatalog.named("least-in-hand"), faults, SECONDS, 3);
    simulation.run();
    assertTrue(simulation.invariants().count(Rule.COLD) > 0);
  }

  @Test
  void unknownAndInvalidSitesAreRejected() {
    Assertions.assertThrows(
        InvalidInputException.class, () -> EmulatedSites.named("no such world"));
    Assertions.assertThrows(
        InvalidInputException.class, () -> EmulatedSites.read("x", "name = 1\nnonsense = 2"));
  }
}
