package cobaltseam.deployment;

/** A message that the adapter can't take; its text says what is wrong with it. */
public final class BadInput extends RuntimeException {
  private static final long serialVersionUID = 1;

  public BadInput(String what) {
    super(what);
  }
}
