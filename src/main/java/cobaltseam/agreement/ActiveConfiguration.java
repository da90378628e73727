package cobaltseam.agreement;

import cobaltseam.membership.ConfigurationVersion;
import java.util.List;

/**
 * What a process acts on from a moment on.
 *
 * @param versions oldest first: one, or all that any process may still act on; of a process that
 *     stepped back the one that it holds, or none
 */
public record ActiveConfiguration(Mode mode, List<ConfigurationVersion> versions) {
  /** How. */
  public enum Mode {
    /** On the one edition. */
    PLAIN,
    /** On a cautious reading between all of these, which contradicts none of them. */
    BETWEEN,
    /** It may have missed one: on a cautious reading of what it holds. */
    BACK;

    public String label() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }

  public ActiveConfiguration {
    versions = List.copyOf(versions);
  }

  /** The edition that it is on the way to, or null. */
  public ConfigurationVersion newest() {
    return versions.isEmpty() ? null : versions.get(versions.size() - 1);
  }
}
