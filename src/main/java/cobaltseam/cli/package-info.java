/**
 * The command line: subcommands, options and exit codes. The entry point is {@link
 * cobaltseam.cli.CobaltseamCommand}; each command runs on the calling thread.
 */
package cobaltseam.cli;
