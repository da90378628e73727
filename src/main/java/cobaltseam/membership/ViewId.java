package cobaltseam.membership;

/**
 * The number of a view, within one line of views that began with a founding. In one line a number
 * is held with one set of members only, by whatever process, ever.
 *
 * @param lineage the birth of the process that founded it, so that of two lines the lower one is
 *     the elder; zero where there is no view
 */
public record ViewId(long lineage, long number) {
  public static final ViewId NONE = new ViewId(0, 0);

  ViewId next() {
    return new ViewId(lineage, number + 1);
  }

  /** Whether this one follows another in its line, at once or later. */
  boolean isAfter(ViewId other) {
    return lineage == other.lineage && number > other.number;
  }

  /** From the form that it is written in; null if it is not of that. */
  public static ViewId read(String text) {
    if (!text.matches("[0-9a-f]{1,15}/[0-9]{1,18}")) {
      return null;
    }
    int slash = text.indexOf('/');
    return new ViewId(
        Long.parseLong(text.substring(0, slash), 16), Long.parseLong(text.substring(slash + 1)));
  }

  @Override
  public String toString() {
    return Long.toHexString(lineage) + "/" + number;
  }
}
