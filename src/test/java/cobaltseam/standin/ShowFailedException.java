package cobaltseam.standin;

import java.io.IOException;

/** Thrown if a dispatcher answers SHOW with an error or with a table without rows. */
public final class ShowFailedException extends IOException {
  private static final long serialVersionUID = 1L;

  ShowFailedException(String name, Object outcome, String lastError) {
    super("SHOW cobaltseam." + name + " returned no rows (outcome " + outcome + "): " + lastError);
  }
}
