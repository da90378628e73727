package cobaltseam.membership;

/** The name of a dispatcher, unique within its fleet. */
public record MemberName(String value) implements Comparable<MemberName> {
  /** The maximum length in characters; bounded because every message contains names. */
  public static final int MAX_LENGTH = 64;

  /** Throws {@link IllegalArgumentException} if the name is empty or too long. */
  public MemberName {
    if (value.isEmpty() || value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          "a member name must have 1 to " + MAX_LENGTH + " characters, not " + value.length());
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
