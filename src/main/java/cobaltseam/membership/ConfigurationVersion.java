package cobaltseam.membership;

import java.util.Objects;

/**
 * The version of the agreed configuration document that a view refers to. The version is chosen
 * together with the view, so the versions of a lineage are totally ordered as its views are.
 *
 * @param number from 1, increased by one with each version
 * @param hash SHA-256 of the document, as 64 hexadecimal digits
 * @param proposer the member that proposed the version
 */
public record ConfigurationVersion(long number, String hash, MemberName proposer) {
  private static final int HASH_LENGTH = 64;

  /**
   * Throws {@link IllegalArgumentException} if the number is less than 1 or the hash does not have
   * 64 digits.
   */
  public ConfigurationVersion {
    Objects.requireNonNull(proposer);
    if (number < 1 || hash.length() != HASH_LENGTH) {
      throw new IllegalArgumentException(
          "a configuration version needs a number of at least 1 and a hash of "
              + HASH_LENGTH
              + " digits");
    }
  }

  /** The number of a version; zero if the version is null. */
  public static long numberOf(ConfigurationVersion version) {
    return version == null ? 0 : version.number;
  }

  /** The number and the first eight digits of the hash, for the log. */
  @Override
  public String toString() {
    return number + ":" + hash.substring(0, 8);
  }
}
