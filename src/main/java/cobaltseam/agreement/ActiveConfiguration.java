package cobaltseam.agreement;

import cobaltseam.membership.ConfigurationVersion;
import java.util.List;

/**
 * What a process acts on from a time on.
 *
 * @param versions oldest first: one, or all that any process may still act on; in mode {@code BACK}
 *     the one that this process holds, or none
 */
public record ActiveConfiguration(Mode mode, List<ConfigurationVersion> versions) {
  /** How the versions are acted on. */
  public enum Mode {
    /** The one version is acted on as it is. */
    PLAIN,
    /** A conservative merge of all versions is acted on, which contradicts none of them. */
    BETWEEN,
    /** A version may have been missed: a conservative reading of the held one is acted on. */
    BACK;

    /** The word for it in logs and in SHOW. */
    public String label() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }

  public ActiveConfiguration {
    versions = List.copyOf(versions);
  }

  /** The latest version, or null if there is none. */
  public ConfigurationVersion newest() {
    return versions.isEmpty() ? null : versions.get(versions.size() - 1);
  }
}
