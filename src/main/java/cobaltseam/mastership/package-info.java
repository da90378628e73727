/**
 * Elects the active dispatcher for each virtual address of a group by VRRP version 3 (RFC 9568).
 * The entry point is {@link cobaltseam.mastership.Mastership}, which does no I/O and starts no
 * threads. All calls come from one thread; the caller passes the current time in microseconds.
 */
package cobaltseam.mastership;
