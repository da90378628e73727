package cobaltseam.resp;

import java.util.List;

/** The result of a command, gathered page by page; its rows stay the bytes that came. */
public final class Result {
  private static final int MOST_PAGES = 64;
  private static final int MOST_BYTES = 1 << 16;
  private static final int UNKNOWN = -1;

  private final byte[][] pages;
  private int missing;
  private int bytes;
  private int rows;
  private int columns = UNKNOWN;

  /** A result of so many pages. */
  public Result(int pages) {
    this.pages = new byte[Math.max(0, Math.min(pages, MOST_PAGES))][];
    missing = pages;
  }

  /** Whether a result may have so many pages. */
  public static boolean canHave(int pages) {
    return pages >= 1 && pages <= MOST_PAGES;
  }

  /** Whether this page has come already. */
  public boolean has(int page) {
    return page >= 0 && page < pages.length && pages[page] != null;
  }

  /** Takes a page in; tells what is wrong with it, or null. */
  public String add(int page, byte[] body) {
    if (page < 0 || page >= pages.length || pages[page] != null) {
      return "page " + page + " of " + pages.length + " is none of those to come";
    }
    bytes += body.length;
    if (bytes > MOST_BYTES) {
      return "a result of more than " + MOST_BYTES + " bytes";
    }
    if (body.length > 0 && body[body.length - 1] != '\n') {
      return "page " + page + " ends within a row";
    }
    int inRow = 1;
    for (byte b : body) {
      inRow += b == '\t' ? 1 : 0;
      if (b == '\n') {
        if (columns != UNKNOWN && inRow != columns) {
          return "a row of " + inRow + " columns after one of " + columns;
        }
        columns = inRow;
        inRow = 1;
        rows++;
      }
    }
    pages[page] = body;
    missing--;
    return null;
  }

  public boolean isWhole() {
    return missing == 0;
  }

  public int pageCount() {
    return pages.length;
  }

  public int rowCount() {
    return rows;
  }

  /** The columns of each row, or the number given where there is no row. */
  public int columns(int otherwise) {
    return columns == UNKNOWN ? otherwise : columns;
  }

  public List<byte[]> pages() {
    return List.of(pages);
  }
}
