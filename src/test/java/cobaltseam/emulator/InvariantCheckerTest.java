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
 * The real module in the emulator keeps the rules, and the same seed decides the same; mutants of
 * it are caught.
 */
class InvariantCheckerTest {
  private static final double SECONDS = 20;

  /** The module with something broken. */
  private static class Mutant implements Policy {
    final Policy module;
    final Map<RequestId, Request> commands = new HashMap<>();

    Mutant(Policy module) {
      this.module = module;
    }

    @Override
    public Placement place(Request command, Timestamp now) {
      commands.put(command.id(), command);
      return module.place(command, now);
    }

    @Override
    public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
      return module.completeAttempt(outcome, now);
    }

    @Override
    public NextStep next(Timestamp now) {
      return module.next(now);
    }

    @Override
    public void updateEndpoints(List<EndpointStatus> list, boolean whole, Timestamp now) {
      module.updateEndpoints(list, whole, now);
    }

    @Override
    public void updateProgress(RequestId command, int send, double share, Timestamp now) {
      module.updateProgress(command, send, share, now);
    }

    @Override
    public void clientLeft(RequestId command, Timestamp now) {
      module.clientLeft(command, now);
    }
  }

  private interface Mutation {
    Policy of(Policy module);
  }

  private static EmulatedSite hall() {
    return EmulatedSites.named("hall");
  }

  private static InvariantChecker play(
      EmulatedSite world, List<Fault> faults, Mutation mutation, long seed) {
    Simulation site =
        new Simulation(
            world,
            (told, of, truth) -> mutation.of(Policy.ofDispatcher(new Dispatcher(told, of))),
            faults,
            SECONDS,
            seed);
    site.run();
    return site.invariants();
  }

  private static EmulatedSite with(EmulatedSite site, EmulatedSite.Limits limits) {
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

  private static EmulatedSite budgeted() {
    EmulatedSite.Limits load = hall().limits();
    return with(
        hall(),
        new EmulatedSite.Limits(
            load.maxAttempts(),
            load.canCancel(),
            load.progressMs(),
            load.maxRetryAfterMs(),
            load.drainGraceMs(),
            load.slowStartLimitFactor(),
            load.slowStartWindowMs(),
            load.sequenceKeyRestMs(),
            2.0,
            0.02,
            2000));
  }

  @Test
  void theModuleKeepsTheRulesUnderDrawnFaults() {
    for (long seed = 1; seed <= 12; seed++) {
      EmulatedSite world = seed % 3 == 0 ? budgeted() : hall();
      InvariantChecker referee = play(world, Fault.random(world, SECONDS, 8, seed), m -> m, seed);
      assertEquals(0, referee.violationCount(), "seed " + seed + ": " + referee.violations());
    }
  }

  @Test
  void theSameSeedDecidesTheSameAndAnotherDoesNot() {
    List<Fault> faults = Fault.random(hall(), SECONDS, 8, 5);
    long one =
        new Simulation(hall(), PolicyCatalog.named("module"), faults, SECONDS, 5).run().hash();
    assertEquals(
        one,
        new Simulation(hall(), PolicyCatalog.named("module"), faults, SECONDS, 5).run().hash());
    assertNotEquals(
        one,
        new Simulation(hall(), PolicyCatalog.named("module"), faults, SECONDS, 6).run().hash());
    assertEquals(faults, Fault.random(hall(), SECONDS, 8, 5));
  }

  /** What comes to a killed one while it is also to stand still must not wait for its next life. */
  @Test
  void aKilledDispatcherThatStandsStillHearsNothing() {
    List<Fault> faults =
        List.of(
            new Fault(Fault.Kind.KILL, 3, 6, List.of(0), 1, 0),
            new Fault(Fault.Kind.PAUSE, 4, 2, List.of(0), 1, 0),
            new Fault(Fault.Kind.DRAIN, 4.2, 2, List.of(1), 1, 0),
            new Fault(Fault.Kind.PAUSE, 8, 3, List.of(0), 1, 0));
    assertEquals(0, play(hall(), faults, m -> m, 1).violationCount());
  }

  @Test
  void aDrainIgnoredIsSeen() {
    List<Fault> faults = List.of(new Fault(Fault.Kind.DRAIN, 3, 10, List.of(0, 1, 2), 1, 0));
    InvariantChecker referee =
        play(
            hall(),
            faults,
            m ->
                new Mutant(m) {
                  @Override
                  public void updateEndpoints(
                      List<EndpointStatus> list, boolean whole, Timestamp now) {
                    module.updateEndpoints(
                        list.stream()
                            .map(
                                l ->
                                    new EndpointStatus(
                                        l.engine(),
                                        l.location(),
                                        l.machineType(),
                                        l.group(),
                                        EndpointState.UP,
                                        l.startedAt()))
                            .toList(),
                        whole,
                        now);
                  }
                },
            1);
    assertTrue(referee.count(Rule.DRAIN) > 0);
  }

  /** It is asked again for a command that is out, and sends it once more. */
  @Test
  void aSecondSendWithOneOutIsSeen() {
    InvariantChecker referee =
        play(
            hall(),
            List.of(),
            m ->
                new Mutant(m) {
                  private int placed;
                  private Request twice;

                  @Override
                  public Placement place(Request command, Timestamp now) {
                    if (command.equals(twice)) {
                      twice = null;
                      return Placement.send(new EngineId(2), new TimeSpan(1_000_000), -1);
                    }
                    Placement p = super.place(command, now);
                    twice = p.decision() == Decision.SEND && ++placed % 50 == 0 ? command : twice;
                    return p;
                  }

                  @Override
                  public NextStep next(Timestamp now) {
                    return twice != null ? NextStep.placeAgain(twice) : module.next(now);
                  }
                },
            1);
    assertTrue(referee.count(Rule.TWICE) > 0);
  }

  @Test
  void commandsForgottenAreSeen() {
    InvariantChecker referee =
        play(
            hall(),
            Fault.random(hall(), SECONDS, 8, 1),
            m ->
                new Mutant(m) {
                  private int after;

                  @Override
                  public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
                    Placement p = module.completeAttempt(outcome, now);
                    return p.decision() == Decision.SHED && ++after > 0 ? Placement.queue() : p;
                  }

                  @Override
                  public Placement place(Request command, Timestamp now) {
                    Placement p = module.place(command, now);
                    return p.decision() == Decision.SHED ? Placement.queue() : p;
                  }
                },
            1);
    assertTrue(referee.count(Rule.LOST) > 0);
  }

  /** Mutants that answer or send by themselves: each breaks one rule on its own. */
  @Test
  void repeatsShedsOrderPlacementAndBudgetsAreSeen() {
    List<Fault> failing =
        List.of(new Fault(Fault.Kind.FAIL, 2, 15, List.of(0, 1, 2, 3, 4, 5), 0.5, 0));
    Mutation repeats =
        m ->
            new Mutant(m) {
              private final List<Request> again = new ArrayList<>();

              @Override
              public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
                Placement p = module.completeAttempt(outcome, now);
                if (outcome.result() == AttemptOutcome.AttemptResult.ERROR
                    && p.decision() != Decision.QUEUE) {
                  again.add(commands.get(outcome.request()));
                  return Placement.queue();
                }
                return p;
              }

              @Override
              public NextStep next(Timestamp now) {
                return again.isEmpty() ? module.next(now) : NextStep.placeAgain(again.get(0));
              }

              @Override
              public Placement place(Request command, Timestamp now) {
                if (!again.isEmpty() && again.get(0).equals(command)) {
                  again.remove(0);
                  return Placement.send(new EngineId(7), new TimeSpan(1_000_000), -1);
                }
                return super.place(command, now);
              }
            };
    assertTrue(play(hall(), failing, repeats, 2).count(Rule.TWICE) > 0);
    Mutation sheds =
        m ->
            new Mutant(m) {
              @Override
              public Placement completeAttempt(AttemptOutcome outcome, Timestamp now) {
                Placement p = module.completeAttempt(outcome, now);
                return p.decision() == Decision.FAIL ? Placement.shed(TimeSpan.ZERO) : p;
              }
            };
    assertTrue(play(hall(), failing, sheds, 2).count(Rule.TWICE) > 0);
    Mutation hasty =
        m ->
            new Mutant(m) {
              @Override
              public Placement place(Request command, Timestamp now) {
                Placement p = super.place(command, now);
                return p.decision() == Decision.QUEUE
                        && command.sequenceKey() != null
                        && !commands.containsKey(new RequestId("x" + command.id().value()))
                        && commands.put(new RequestId("x" + command.id().value()), command) == null
                    ? Placement.send(new EngineId(3), new TimeSpan(1_000_000), -1)
                    : p;
              }
            };
    assertTrue(play(hall(), List.of(), hasty, 2).count(Rule.ORDER) > 0);
    EmulatedSite.RequestClass first = hall().requestClasses().get(0);
    EmulatedSite placed =
        new EmulatedSite(
            "placed",
            hall().engines(),
            hall().dispatchers(),
            List.of(
                new EmulatedSite.RequestClass(
                    first.name(),
                    1,
                    first.threads(),
                    first.workMs(),
                    first.cv(),
                    1,
                    0,
                    first.objectiveMs(),
                    first.deadlineMs(),
                    0,
                    first.retrySafety(),
                    first.deduplicationScope(),
                    0,
                    0,
                    false,
                    0,
                    1,
                    List.of("l1"))),
            hall().tenants(),
            hall().load(),
            hall().network(),
            hall().discovery(),
            hall().limits());
    assertEquals(0, play(placed, List.of(), m -> m, 2).violationCount());
    Mutation anywhere =
        m ->
            new Mutant(m) {
              @Override
              public Placement place(Request command, Timestamp now) {
                Placement p = super.place(command, now);
                return p.decision() == Decision.SEND
                    ? Placement.send(new EngineId(1), p.attemptTimeout(), -1)
                    : p;
              }
            };
    assertTrue(play(placed, List.of(), anywhere, 2).count(Rule.PLACEMENT) > 0);
    EmulatedSite unbudgeted = hall();
    Mutation spends = m -> Policy.ofDispatcher(new Dispatcher(unbudgeted.deployment(0), 3));
    assertTrue(play(budgeted(), failing, spends, 2).count(Rule.BUDGET) > 0);
  }

  @Test
  void coldEnginesThatAreFloodedAreSeen() {
    List<Fault> faults = List.of(new Fault(Fault.Kind.DIE, 3, 2, List.of(0, 1, 2, 3), 1, 0));
    EmulatedSite.Limits load = hall().limits();
    EmulatedSite strict =
        with(
            hall(),
            new EmulatedSite.Limits(
                load.maxAttempts(),
                load.canCancel(),
                load.progressMs(),
                load.maxRetryAfterMs(),
                load.drainGraceMs(),
                0.3,
                load.slowStartWindowMs(),
                load.sequenceKeyRestMs(),
                null,
                null,
                0));
    Simulation site =
        new Simulation(strict, PolicyCatalog.named("least-in-hand"), faults, SECONDS, 3);
    site.run();
    assertTrue(site.invariants().count(Rule.COLD) > 0);
  }

  @Test
  void worldsOutOfBoundsAreRefused() {
    Assertions.assertThrows(
        InvalidInputException.class, () -> EmulatedSites.named("no such world"));
    Assertions.assertThrows(
        InvalidInputException.class, () -> EmulatedSites.read("x", "name = 1\nnonsense = 2"));
  }
}
