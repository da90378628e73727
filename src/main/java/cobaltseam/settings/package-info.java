/**
 * Reads and validates the dispatcher's own settings file. The entry point is {@link
 * cobaltseam.settings.SettingsReader}; the result is an immutable {@link
 * cobaltseam.settings.Settings}. Times are in milliseconds in the file and {@code TimeSpan}s, in
 * microseconds, here.
 */
package cobaltseam.settings;
