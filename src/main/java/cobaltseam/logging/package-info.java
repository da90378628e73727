/**
 * Log lines with named fields, as text or as JSON. The entry points are {@link
 * cobaltseam.logging.Field}, for the parameters of a line, and {@link
 * cobaltseam.logging.JsonLines}; both may be used from any thread.
 */
package cobaltseam.logging;
