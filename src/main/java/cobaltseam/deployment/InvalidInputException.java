package cobaltseam.deployment;

/** A message that the adapter can't take; its text says what is wrong with it. */
public final class InvalidInputException extends RuntimeException {
  private static final long serialVersionUID = 1;

  public InvalidInputException(String what) {
    super(what);
  }
}
