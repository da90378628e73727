package cobaltseam.mastership;

/** The state of a dispatcher in one virtual router, as in RFC 9568 section 6.4. */
public enum Role {
  INITIALIZE,
  BACKUP,
  ACTIVE
}
