/**
 * The emulator: a whole deployment (clients, dispatchers with the real policy, network, engines,
 * discovery, faults) in virtual time, with experiments on top. Only the lab's jar contains it.
 *
 * <p>{@link cobaltseam.emulator.EmulateCommand} is the command line, {@link
 * cobaltseam.emulator.Simulation} one run. A run is single-threaded and takes all random numbers
 * from one seed, so the same input gives the same events. Times are microseconds of virtual time
 * unless a name says otherwise.
 */
package cobaltseam.emulator;
