/**
 * Authenticates messages between dispatchers with an HMAC-SHA-256 trailer. The entry point is
 * {@link cobaltseam.authentication.MessageAuthenticator}; all classes are immutable or stateless.
 * Key ids are 1 to 255, lengths are in bytes.
 */
package cobaltseam.authentication;
