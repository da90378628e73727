/**
 * The program: {@link cobaltseam.Main} is where the process starts. It calls the service, the
 * simulator's adapter or the command line, each in a package of its own.
 */
package cobaltseam;
