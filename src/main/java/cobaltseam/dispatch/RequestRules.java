package cobaltseam.dispatch;

import cobaltseam.dispatch.Deployment.Capabilities;
import cobaltseam.dispatch.Deployment.DeduplicationScope;
import cobaltseam.dispatch.Deployment.RequestClass;
import cobaltseam.dispatch.Deployment.RetrySafety;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The rules that a request complies with, fixed when it is accepted. Null locations or machine
 * types allow any.
 */
record RequestRules(
    RetrySafety retrySafety,
    Set<DeduplicationScope> deduplicationScopes,
    TimeSpan deduplicationWindow,
    boolean isOrdered,
    int maxAttempts,
    TimeSpan sequenceKeyRest,
    Set<LocationId> locations,
    Set<MachineTypeId> machineTypes) {
  static RequestRules of(RequestClass requestClass, Deployment deployment) {
    Capabilities capabilities = deployment.capabilities();
    DeduplicationScope scope = requestClass.deduplicationScope();
    return new RequestRules(
        requestClass.retrySafety(),
        scope == null ? Set.of() : Set.of(scope),
        requestClass.deduplicationWindow(),
        requestClass.isOrdered(),
        capabilities.maxAttempts(),
        deployment.rules().sequenceKeyRest(),
        requestClass.locations() == null ? null : Set.copyOf(requestClass.locations()),
        requestClass.machineTypes() == null ? null : Set.copyOf(requestClass.machineTypes()));
  }

  /** Returns the rules that comply with both sets of rules. */
  RequestRules stricterOf(RequestRules other) {
    Set<DeduplicationScope> scopes =
        Stream.of(deduplicationScopes, other.deduplicationScopes)
            .flatMap(Set::stream)
            .collect(Collectors.toSet());
    // The constants are declared from the least to the most strict.
    RetrySafety stricterSafety =
        retrySafety.compareTo(other.retrySafety) < 0 ? other.retrySafety : retrySafety;
    return new RequestRules(
        stricterSafety,
        scopes,
        shorterWindow(other),
        isOrdered || other.isOrdered,
        Math.min(maxAttempts, other.maxAttempts),
        sequenceKeyRest.max(other.sequenceKeyRest),
        intersection(locations, other.locations),
        intersection(machineTypes, other.machineTypes));
  }

  /**
   * Returns the shorter deduplication window. The window of idempotent requests is ignored, since
   * they do not need one.
   */
  private TimeSpan shorterWindow(RequestRules other) {
    if (retrySafety == RetrySafety.IDEMPOTENT) {
      return other.deduplicationWindow;
    }
    if (other.retrySafety == RetrySafety.IDEMPOTENT) {
      return deduplicationWindow;
    }
    return deduplicationWindow.min(other.deduplicationWindow);
  }

  private static <T> Set<T> intersection(Set<T> one, Set<T> other) {
    if (one == null) {
      return other;
    }
    if (other == null) {
      return one;
    }
    return one.stream().filter(other::contains).collect(Collectors.toSet());
  }

  boolean allowsNoEngine() {
    return locations != null && locations.isEmpty()
        || machineTypes != null && machineTypes.isEmpty();
  }

  boolean allowsPlacement(LocationId location, MachineTypeId machineType) {
    return (locations == null || locations.contains(location))
        && (machineTypes == null || machineTypes.contains(machineType));
  }

  /**
   * Returns whether a request that may have run in one location and group may run again in another.
   */
  boolean allowsRetryElsewhere(
      LocationId ranLocation, GroupId ranGroup, LocationId location, GroupId group) {
    if (retrySafety != RetrySafety.IDEMPOTENT_WITH_KEY) {
      return true;
    }
    boolean leavesLocationScope =
        deduplicationScopes.contains(DeduplicationScope.LOCATION) && !location.equals(ranLocation);
    boolean leavesGroupScope =
        deduplicationScopes.contains(DeduplicationScope.GROUP) && !group.equals(ranGroup);
    return !leavesLocationScope && !leavesGroupScope;
  }

  /** Returns whether a client may safely send a request again that may have run. */
  boolean allowsClientRetry() {
    return retrySafety == RetrySafety.IDEMPOTENT
        || retrySafety == RetrySafety.IDEMPOTENT_WITH_KEY
            && deduplicationScopes.equals(Set.of(DeduplicationScope.ALL));
  }
}
