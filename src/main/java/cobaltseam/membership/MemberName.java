package cobaltseam.membership;

/** The name of a dispatcher among those of its fleet. */
public record MemberName(String value) implements Comparable<MemberName> {
  /** The longest name, in characters; names are part of every message. */
  public static final int MAX_LENGTH = 64;

  /** Throws {@link IllegalArgumentException} if the name is empty or too long. */
  public MemberName {
    if (value.isEmpty() || value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException("a name has 1 to " + MAX_LENGTH + " characters");
    }
  }

  @Override
  public int compareTo(MemberName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
