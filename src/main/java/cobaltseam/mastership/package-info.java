/**
 * Decides which dispatcher of a group is active for each virtual address, by VRRP version 3 (RFC
 * 9568). The entry point is {@link cobaltseam.mastership.Mastership}; it does no I/O and starts no
 * thread. All calls come from one thread, and the caller passes the time in, in microseconds.
 */
package cobaltseam.mastership;
