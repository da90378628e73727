/**
 * A randomized soak of restarts, reproducible from its seed. Dispatcher processes under load
 * receive signals, while engines and discovery have faults. Checks then compare the records of
 * clients, engines and dispatchers.
 */
package cobaltseam.soak;
