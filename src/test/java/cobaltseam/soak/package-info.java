/**
 * A seeded soak of restarts: dispatchers as processes under load, signals and faults of engines and
 * discovery, and named checks on what clients, engines and dispatchers recorded.
 */
package cobaltseam.soak;
