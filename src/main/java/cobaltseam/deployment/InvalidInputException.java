package cobaltseam.deployment;

/** Thrown when external input is invalid; the message names the field and the error. */
public final class InvalidInputException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /**
   * Creates the exception.
   *
   * @param message the field and the error in it
   */
  public InvalidInputException(String message) {
    super(message);
  }
}
