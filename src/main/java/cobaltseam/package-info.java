/**
 * The entry point of the program, {@link cobaltseam.Main}. It runs the service, the simulator's
 * adapter or a command of the command line; each of them has its own package.
 */
package cobaltseam;
