package cobaltseam.standin;

import java.io.IOException;

/** A dispatcher answered SHOW with something else than a table with rows. */
public final class ShowFailedException extends IOException {
  private static final long serialVersionUID = 1L;

  ShowFailedException(String name, Object outcome, String lastError) {
    super("SHOW cobaltseam." + name + " ended as " + outcome + " without rows: " + lastError);
  }
}
