package cobaltseam.membership;

import java.util.Objects;

/**
 * The version of the agreed configuration document that a view refers to. It is chosen with a view,
 * so versions are totally ordered as views are.
 *
 * @param number from 1, one more for each version
 * @param hash SHA-256 of the document, as 64 hexadecimal digits
 * @param proposer the member that proposed it
 */
public record ConfigurationVersion(long number, String hash, MemberName proposer) {
  private static final int HASH_LENGTH = 64;

  /** Throws {@link IllegalArgumentException} if the number or the hash is out of bounds. */
  public ConfigurationVersion {
    Objects.requireNonNull(proposer);
    if (number < 1 || hash.length() != HASH_LENGTH) {
      throw new IllegalArgumentException(
          "a configuration version needs a number from 1 and a hash of " + HASH_LENGTH + " digits");
    }
  }

  /** The number of a version; zero for null. */
  public static long numberOf(ConfigurationVersion version) {
    return version == null ? 0 : version.number;
  }

  /** The number and the first digits of the hash. */
  @Override
  public String toString() {
    return number + ":" + hash.substring(0, 8);
  }
}
