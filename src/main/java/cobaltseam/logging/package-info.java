/**
 * Log lines with named fields, as text or as JSON. The entry points are {@link
 * cobaltseam.logging.Field}, for the parameters of a log record, and {@link
 * cobaltseam.logging.JsonLines}, for the JSON format. Both may be used from any thread.
 */
package cobaltseam.logging;
