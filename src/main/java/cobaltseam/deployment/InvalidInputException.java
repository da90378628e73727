package cobaltseam.deployment;

/** Input from outside that can't be used; the message names the field and what is wrong with it. */
public final class InvalidInputException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /**
   * Creates the exception.
   *
   * @param message the field, and what is wrong with it
   */
  public InvalidInputException(String message) {
    super(message);
  }
}
