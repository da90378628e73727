/**
 * Agreement of the fleet on one configuration document.
 *
 * <p>Entry point: {@link cobaltseam.agreement.ConfigurationAgreement}. It says which version of the
 * document a process acts on, offers and fetches documents, and returns what is to be done as
 * {@link cobaltseam.agreement.AgreementEffect}. {@link cobaltseam.agreement.ConservativeMerge}
 * derives settings that contradict none of several deployments.
 *
 * <p>Nothing here does I/O or starts a thread: the caller passes the time and the random generator,
 * and calls from one thread. Times are microseconds of a monotonic clock.
 */
package cobaltseam.agreement;
