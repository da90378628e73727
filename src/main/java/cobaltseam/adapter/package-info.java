/**
 * Lets the simulator drive dispatchers: reads batches of events from a stream and writes decisions.
 *
 * <p>{@link cobaltseam.adapter.SimulatorAdapter} is the entry point. It runs on its caller's
 * thread, and takes the time from the events: microseconds of the simulator's clock. The names on
 * the wire are the simulator's.
 */
package cobaltseam.adapter;
