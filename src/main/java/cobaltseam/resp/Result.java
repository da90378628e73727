package cobaltseam.resp;

import java.util.List;

/**
 * The result of a request, collected page by page; its rows stay as received, columns separated by
 * tabs. Not thread-safe.
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

  /** A result of this many pages, none of which was received yet. */
  public Result(int pages) {
    this.pages = new byte[Math.max(0, Math.min(pages, MAX_PAGES))][];
    missingPages = pages;
  }

  /** Whether a result may have this many pages. */
  public static boolean isValidPageCount(int pages) {
    return pages >= 1 && pages <= MAX_PAGES;
  }

  /** Whether this page was received. */
  public boolean hasPage(int page) {
    return page >= 0 && page < pages.length && pages[page] != null;
  }

  /**
   * Adds a page.
   *
   * @param page its index, from 0
   * @return what is wrong with it, or null
   */
  public String addPage(int page, byte[] body) {
    if (page < 0 || page >= pages.length || pages[page] != null) {
      return "page " + page + " of " + pages.length + " is none of those to come";
    }
    totalBytes += body.length;
    if (totalBytes > MAX_BYTES) {
      return "a result of more than " + MAX_BYTES + " bytes";
    }
    if (body.length > 0 && body[body.length - 1] != '\n') {
      return "page " + page + " ends within a row";
    }
    int columnsInRow = 1;
    for (byte b : body) {
      columnsInRow += b == '\t' ? 1 : 0;
      if (b == '\n') {
        if (columnCount != UNKNOWN && columnsInRow != columnCount) {
          return "a row of " + columnsInRow + " columns after one of " + columnCount;
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

  /** Whether all pages were received. */
  public boolean isComplete() {
    return missingPages == 0;
  }

  /** The number of pages, received or not. */
  public int pageCount() {
    return pages.length;
  }

  /** The number of rows received. */
  public int rowCount() {
    return rowCount;
  }

  /** The number of columns of each row, or a default if there is no row. */
  public int columnCountOr(int otherwise) {
    return columnCount == UNKNOWN ? otherwise : columnCount;
  }

  /** All pages of a complete result, in order. */
  public List<byte[]> pages() {
    return List.of(pages);
  }
}
