/**
 * Persists one value in a folder such that it survives a crash at any moment. The entry points are
 * {@link cobaltseam.store.AtomicFile}, which blocks until the value is on disk, and {@link
 * cobaltseam.store.BackgroundWriter}, which writes on a thread of its own.
 */
package cobaltseam.store;
