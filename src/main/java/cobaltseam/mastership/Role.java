package cobaltseam.mastership;

/** The protocol state of a dispatcher for one virtual router, RFC 9568 section 6.4. */
public enum Role {
  INITIALIZE,
  BACKUP,
  ACTIVE
}
