package cobaltseam.resp;

import java.util.List;

/**
 * The result of a request, collected page by page. Rows are kept as received: each ends with a line
 * feed, and its columns are separated by tabs. Not thread-safe.
 */
public final class Result {
  private static final int MAX_PAGES = 64;
  private static final int MAX_BYTES = 1 << 16;
  private static final int UNKNOWN = -1;

  private final byte[][] pages;
  private int missingPages;
  private int totalBytes;
  private int rowCount;
  private int columnCount = UNKNOWN;

  /**
   * Creates a result without any page received.
   *
   * @param pages the number of pages; {@link #isValidPageCount} must hold
   */
  public Result(int pages) {
    this.pages = new byte[Math.max(0, Math.min(pages, MAX_PAGES))][];
    missingPages = pages;
  }

  /** Returns whether a result may have this many pages. */
  public static boolean isValidPageCount(int pages) {
    return pages >= 1 && pages <= MAX_PAGES;
  }

  /** Returns whether a page has been received. */
  public boolean hasPage(int page) {
    return page >= 0 && page < pages.length && pages[page] != null;
  }

  /**
   * Adds a page.
   *
   * @param page its index, from 0
   * @return why the page is invalid, or null if it has been added
   */
  public String addPage(int page, byte[] body) {
    if (page < 0 || page >= pages.length || pages[page] != null) {
      return "page "
          + page
          + " of "
          + pages.length
          + " is out of range or has been received before";
    }
    totalBytes += body.length;
    if (totalBytes > MAX_BYTES) {
      return "result of more than " + MAX_BYTES + " bytes";
    }
    if (body.length > 0 && body[body.length - 1] != '\n') {
      return "page " + page + " ends within a row";
    }
    int columnsInRow = 1;
    for (byte b : body) {
      columnsInRow += b == '\t' ? 1 : 0;
      if (b == '\n') {
        if (columnCount != UNKNOWN && columnsInRow != columnCount) {
          return "row of " + columnsInRow + " columns after a row of " + columnCount + " columns";
        }
        columnCount = columnsInRow;
        columnsInRow = 1;
        rowCount++;
      }
    }
    pages[page] = body;
    missingPages--;
    return null;
  }

  /** Returns whether all pages have been received. */
  public boolean isComplete() {
    return missingPages == 0;
  }

  /** Returns the number of pages, received or not. */
  public int pageCount() {
    return pages.length;
  }

  /** Returns the number of rows received. */
  public int rowCount() {
    return rowCount;
  }

  /** Returns the number of columns of each row, or a default if no row has been received. */
  public int columnCountOr(int defaultCount) {
    return columnCount == UNKNOWN ? defaultCount : columnCount;
  }

  /** Returns all pages, in order; the result must be complete. */
  public List<byte[]> pages() {
    return List.of(pages);
  }
}
