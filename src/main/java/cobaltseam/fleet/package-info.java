/**
 * A test bench that runs fleets of dispatchers under scripts of faults and checks the recorded
 * histories: {@link cobaltseam.fleet.VirtualFleet} in virtual time, {@link
 * cobaltseam.fleet.RealFleet} as processes on loopback whose datagrams pass {@link
 * cobaltseam.fleet.FaultRelays}. It is packaged in a jar of its own.
 *
 * <p>{@link cobaltseam.fleet.FleetCommand} is the command line. The histories of the members are
 * checked by {@link cobaltseam.fleet.InvariantChecker}, {@link cobaltseam.fleet.ActivationRecord}
 * and {@link cobaltseam.fleet.CapacityUsage}. Times are seconds from the start of a run unless a
 * name says otherwise.
 */
package cobaltseam.fleet;
