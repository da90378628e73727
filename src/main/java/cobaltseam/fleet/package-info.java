/**
 * Fleets of dispatchers under injected faults, as the lab's jar plays them: {@link
 * cobaltseam.fleet.VirtualFleet} in virtual time, {@link cobaltseam.fleet.RealFleet} as processes
 * on loopback whose datagrams pass {@link cobaltseam.fleet.FaultRelays}.
 *
 * <p>{@link cobaltseam.fleet.FleetCommand} is the command line. What members record is checked by
 * {@link cobaltseam.fleet.InvariantChecker}, {@link cobaltseam.fleet.ActivationRecord} and {@link
 * cobaltseam.fleet.CapacityUsage}. Times are seconds from the start of a run unless a name says
 * otherwise.
 */
package cobaltseam.fleet;
