package cobaltseam.membership;

/**
 * Identifies a view by its lineage, which began with a bootstrap, and its number there. All
 * processes that install a view with the same id install the same view.
 *
 * @param lineage the incarnation of the process that began the lineage, so that of two lineages the
 *     lower value is the older; zero for no view
 * @param number from 1, increased by one with each successor; zero for no view
 */
public record ViewId(long lineage, long number) {
  /** No view. */
  public static final ViewId NONE = new ViewId(0, 0);

  /** The id of the successor. */
  ViewId next() {
    return new ViewId(lineage, number + 1);
  }

  /** Whether this view and the other are of the same lineage, and this one is the later. */
  boolean isAfter(ViewId other) {
    return lineage == other.lineage && number > other.number;
  }

  /** Parses the format of {@link #toString}; null if the text has another format. */
  public static ViewId parse(String text) {
    if (!text.matches("[0-9a-f]{1,15}/[0-9]{1,18}")) {
      return null;
    }
    int slash = text.indexOf('/');
    return new ViewId(
        Long.parseLong(text.substring(0, slash), 16), Long.parseLong(text.substring(slash + 1)));
  }

  /** The lineage in hexadecimal, a slash, and the number in decimal. */
  @Override
  public String toString() {
    return Long.toHexString(lineage) + "/" + number;
  }
}
