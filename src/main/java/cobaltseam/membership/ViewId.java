package cobaltseam.membership;

/**
 * The number of a view within its lineage, which began with a bootstrap. Within a lineage, all
 * processes that ever hold a view with a number hold the same one.
 *
 * @param lineage the incarnation of the process that began the lineage, so that the lower of two is
 *     the elder; zero for no view
 * @param number from 1, one more for each successor; zero for no view
 */
public record ViewId(long lineage, long number) {
  /** No view. */
  public static final ViewId NONE = new ViewId(0, 0);

  ViewId next() {
    return new ViewId(lineage, number + 1);
  }

  /** Whether this view comes later than another of the same lineage. */
  boolean isAfter(ViewId other) {
    return lineage == other.lineage && number > other.number;
  }

  /** Parses what {@link #toString} writes; null if the text has another form. */
  public static ViewId parse(String text) {
    if (!text.matches("[0-9a-f]{1,15}/[0-9]{1,18}")) {
      return null;
    }
    int slash = text.indexOf('/');
    return new ViewId(
        Long.parseLong(text.substring(0, slash), 16), Long.parseLong(text.substring(slash + 1)));
  }

  /** The lineage in hexadecimal, a slash and the number. */
  @Override
  public String toString() {
    return Long.toHexString(lineage) + "/" + number;
  }
}
