/**
 * Agreement of the fleet on one configuration document.
 *
 * <p>Entry point: {@link cobaltseam.agreement.ConfigurationAgreement}. It decides which version of
 * the document a process acts on, offers and fetches documents, and returns its effects as {@link
 * cobaltseam.agreement.AgreementEffect}. {@link cobaltseam.agreement.ConservativeMerge} derives
 * settings that contradict none of several deployments.
 *
 * <p>This package does no I/O and starts no thread: the caller passes the time and the random
 * generator, and makes all calls from one thread. Times are microseconds of a monotonic clock.
 */
package cobaltseam.agreement;
