/**
 * Lets the simulator drive dispatchers: reads batches of events from a stream and writes decisions.
 *
 * <p>{@link cobaltseam.adapter.SimulatorAdapter} is the entry point. It runs on its caller's
 * thread, and takes the time from the batches, in microseconds of the simulator's clock. The names
 * of events, decisions and their fields are defined by the simulator.
 */
package cobaltseam.adapter;
