package cobaltseam.membership;

import java.util.Objects;

/**
 * Which version of an agreed document a view holds: one in the one order of views, so that it is
 * chosen as they are.
 *
 * @param number from 1, one more each time
 * @param hash SHA-256 of the content, in hexadecimal
 * @param proposer who proposed it
 */
public record ConfigurationVersion(long number, String hash, MemberName proposer) {
  private static final int HASH_LENGTH = 64;

  public ConfigurationVersion {
    Objects.requireNonNull(proposer);
    if (number < 1 || hash.length() != HASH_LENGTH) {
      throw new IllegalArgumentException(
          "an edition has a number from 1 and a hash of " + HASH_LENGTH + " digits");
    }
  }

  /** The number of an edition that may be none, and is zero then. */
  public static long number(ConfigurationVersion edition) {
    return edition == null ? 0 : edition.number;
  }

  @Override
  public String toString() {
    return number + ":" + hash.substring(0, 8);
  }
}
