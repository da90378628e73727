package cobaltseam.postgres;

import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A position in the bytes of an SQL text, with methods that read or skip tokens. All methods
 * terminate on any text. Not thread-safe.
 */
final class SqlCursor {
  private final byte[] text;
  private int position;

  SqlCursor(byte[] text) {
    this.text = text;
  }

  /**
   * Returns the offset of the next byte; after an unterminated quoted name, this may exceed the
   * length of the text.
   */
  int position() {
    return position;
  }

  /** Moves to an offset, backwards or forwards. */
  void moveTo(int offset) {
    position = offset;
  }

  boolean isAtEnd() {
    return position >= text.length;
  }

  /** Returns the next byte without skipping it; fails at the end of the text. */
  byte next() {
    return text[position];
  }

  /** Skips one byte. */
  void skip() {
    position++;
  }

  /** Returns whether the next byte is this character. */
  boolean isAt(char character) {
    return !isAtEnd() && text[position] == character;
  }

  /** Returns whether a name follows, quoted or not. */
  boolean isAtName() {
    return !isAtEnd() && (text[position] == '"' || isNameStart(text[position]));
  }

  /** Skips white space and comments. */
  void skipSpaceAndComments() {
    while (true) {
      skipSpace();
      if (isAt("/*")) {
        skipComment();
      } else if (isAt("--")) {
        skipLine();
      } else {
        return;
      }
    }
  }

  /** Reads a name; one that is not quoted is converted to lower case. */
  String readName() {
    int start = position;
    if (text[position] != '"') {
      while (position < text.length && isNamePart(text[position])) {
        position++;
      }
      return new String(text, start, position - start, StandardCharsets.UTF_8)
          .toLowerCase(Locale.ROOT);
    }
    position++;
    while (position < text.length && (text[position] != '"' || isAt("\"\""))) {
      position += text[position] == '"' ? 2 : 1;
    }
    String name =
        new String(
            text, start + 1, Math.min(position, text.length) - start - 1, StandardCharsets.UTF_8);
    position++;
    return name.replace("\"\"", "\"");
  }

  /**
   * Skips a string in single quotes.
   *
   * @param hasBackslashEscapes whether a backslash escapes the next character, as in E''
   */
  void skipString(boolean hasBackslashEscapes) {
    position++;
    while (position < text.length) {
      if (hasBackslashEscapes && text[position] == '\\' || isAt("''")) {
        position += 2;
      } else if (text[position++] == '\'') {
        return;
      }
    }
    position = text.length;
  }

  /** Skips a dollar-quoted string; returns whether one starts at the position. */
  boolean skipDollarQuotedString() {
    int tagEnd = position + 1;
    while (tagEnd < text.length && isNamePart(text[tagEnd]) && text[tagEnd] != '$') {
      tagEnd++;
    }
    boolean startsWithDigit =
        position + 1 < tagEnd && text[position + 1] >= '0' && text[position + 1] <= '9';
    if (tagEnd >= text.length || text[tagEnd] != '$' || startsWithDigit) {
      return false;
    }
    String quote = new String(text, position, tagEnd + 1 - position, StandardCharsets.ISO_8859_1);
    position = tagEnd + 1;
    while (position < text.length && !isAt(quote)) {
      position++;
    }
    position = Math.min(text.length, position + quote.length());
    return true;
  }

  /** Skips a comment, which may be nested; returns whether it is terminated. */
  boolean skipComment() {
    int depth = 0;
    while (position < text.length) {
      if (isAt("/*")) {
        depth++;
        position += 2;
      } else if (isAt("*/")) {
        depth--;
        position += 2;
        if (depth == 0) {
          return true;
        }
      } else {
        position++;
      }
    }
    return false;
  }

  /** Skips to the end of the line. */
  void skipLine() {
    while (position < text.length && text[position] != '\n') {
      position++;
    }
  }

  /** Skips white space. */
  void skipSpace() {
    while (position < text.length && isSpace(text[position])) {
      position++;
    }
  }

  /** Returns whether this text, which must be in Latin-1, follows. */
  boolean isAt(String expected) {
    if (text.length - position < expected.length()) {
      return false;
    }
    for (int i = 0; i < expected.length(); i++) {
      if ((text[position + i] & 0xff) != expected.charAt(i)) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether PostgreSQL treats a byte as white space. */
  static boolean isSpace(byte character) {
    return character == ' ' || character >= '\t' && character <= '\r';
  }

  private static boolean isNameStart(byte character) {
    return character >= 'a' && character <= 'z'
        || character >= 'A' && character <= 'Z'
        || character == '_'
        || character < 0;
  }

  private static boolean isNamePart(byte character) {
    return isNameStart(character) || character >= '0' && character <= '9' || character == '$';
  }
}
