package cobaltseam.emulator;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.dispatch.Dispatcher;
import java.util.Locale;
import java.util.SplittableRandom;

/** The policies by the names that the command line and plans use. */
final class PolicyCatalog {
  private PolicyCatalog() {}

  /**
   * Returns the factory of a policy: the dispatcher's own policy alone or in a fleet, or a
   * baseline. The names mean:
   *
   * <ul>
   *   <li>{@code module}: the dispatcher alone
   *   <li>{@code fleet}: dispatchers that divide capacity by demand
   *   <li>{@code fleet-true}: dispatchers that know their true share of the traffic
   *   <li>{@code news-N}: dispatchers that exchange load reports every N milliseconds
   *   <li>others: the values of {@link Baseline.EngineChoice}, in lower case and with hyphens
   * </ul>
   *
   * @throws InvalidInputException if no policy has this name
   */
  static Simulation.PolicyFactory named(String name) {
    if (name.equals("module")) {
      return (deployment, seed, simulation) ->
          Policy.ofDispatcher(new Dispatcher(deployment, seed));
    }
    if (name.equals("fleet")) {
      return (deployment, seed, simulation) ->
          simulation.withFleet(true, 0).join(deployment, new Dispatcher(deployment, seed), seed);
    }
    if (name.startsWith("news-")) {
      double roundMs = Double.parseDouble(name.substring(5));
      return (deployment, seed, simulation) ->
          simulation
              .withFleet(false, roundMs)
              .join(deployment, new Dispatcher(deployment, seed), seed);
    }
    if (name.equals("fleet-true")) {
      return (deployment, seed, simulation) -> {
        Dispatcher dispatcher = new Dispatcher(deployment, seed);
        dispatcher.setSharingDispatchers(
            1 / simulation.trafficShareOf(deployment.dispatcherIndex()));
        return Policy.ofDispatcher(dispatcher);
      };
    }
    try {
      Baseline.EngineChoice choice =
          Baseline.EngineChoice.valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
      return (deployment, seed, simulation) ->
          new Baseline(choice, deployment, new SplittableRandom(seed), simulation.trueState());
    } catch (IllegalArgumentException e) {
      throw new InvalidInputException(
          "unknown policy '"
              + name
              + "'; allowed are module, fleet, fleet-true, news-100 (or another round in ms),"
              + " random, round-robin, least-in-hand, two-choices, shortest-late and clairvoyant");
    }
  }
}
