/**
 * The emulator: a whole deployment (clients, dispatchers with the real policy, network, engines,
 * discovery, faults) in virtual time, with experiments on top. It is in the lab's jar alone.
 *
 * <p>{@link cobaltseam.emulator.EmulateCommand} is the command line, {@link
 * cobaltseam.emulator.Simulation} one run. A run has no threads and draws all chance from one seed,
 * so the same input gives the same events. Times are microseconds of virtual time unless a name
 * says otherwise.
 */
package cobaltseam.emulator;
