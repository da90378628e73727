package cobaltseam.agreement;

import cobaltseam.membership.ConfigurationVersion;
import java.util.List;

/**
 * The configuration that a process acts on.
 *
 * @param versions oldest first: the one version in mode {@code PLAIN}; all versions that any
 *     process may still act on in mode {@code MERGED}; in mode {@code FALLBACK} the version of this
 *     process's view, or none if its document is missing
 */
public record ActiveConfiguration(Mode mode, List<ConfigurationVersion> versions) {
  /** How the process acts on the versions. */
  public enum Mode {
    /** The process acts on the one version as it is. */
    PLAIN("plain"),
    /** The process acts on a conservative merge of all versions, which contradicts none of them. */
    MERGED("between"),
    /**
     * The process may have missed a version, so it acts on a conservative form of the one it has.
     */
    FALLBACK("back");

    private final String label;

    Mode(String label) {
      this.label = label;
    }

    /** The label of the mode in logs and in SHOW. */
    public String label() {
      return label;
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
