package cobaltseam.emulator;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.dispatch.Dispatcher;
import java.util.Locale;
import java.util.SplittableRandom;

/** The policies that can be played, by the names that the command line and plans have for them. */
final class PolicyCatalog {
  private PolicyCatalog() {}

  /**
   * The policy of a name: the dispatcher's own, or a baseline that it is compared with.
   *
   * @throws InvalidInputException if no policy has this name
   */
  static Simulation.PolicyFactory named(String name) {
    if (name.equals("module")) {
      return (told, seed, truth) -> Policy.ofDispatcher(new Dispatcher(told, seed));
    }
    if (name.equals("fleet")) {
      return (told, seed, sim) ->
          sim.withFleet(true, 0).join(told, new Dispatcher(told, seed), seed);
    }
    if (name.startsWith("news-")) {
      double roundMs = Double.parseDouble(name.substring(5));
      return (told, seed, sim) ->
          sim.withFleet(false, roundMs).join(told, new Dispatcher(told, seed), seed);
    }
    if (name.equals("fleet-true")) {
      return (told, seed, sim) -> {
        Dispatcher deployment = new Dispatcher(told, seed);
        deployment.setSharingDispatchers(1 / sim.trafficShareOf(told.dispatcherIndex()));
        return Policy.ofDispatcher(deployment);
      };
    }
    try {
      Baseline.EngineChoice choice =
          Baseline.EngineChoice.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
      return (told, seed, truth) ->
          new Baseline(choice, told, new SplittableRandom(seed), truth.trueState());
    } catch (IllegalArgumentException e) {
      throw new InvalidInputException(
          "policy '"
              + name
              + "' stands there; module, fleet, fleet-true, news-100 (or another round in ms), random, round-robin, least-in-hand, two-choices, "
              + "shortest-late or clairvoyant is allowed");
    }
  }
}
