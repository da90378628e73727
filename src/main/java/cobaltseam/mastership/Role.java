package cobaltseam.mastership;

/** Where a dispatcher stands in one virtual router: the states of RFC 9568. */
public enum Role {
  INITIALIZE,
  BACKUP,
  ACTIVE
}
