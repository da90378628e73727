package cobaltseam.cli;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The option that names the dispatcher's own settings file. */
final class SettingsFileOption {
  /** The path of the settings file, or null if none is given. */
  @Option(
      names = "--config",
      paramLabel = "FILE",
      defaultValue = "${env:COBALTSEAM_CONFIG}",
      description =
          "settings file in addition to the platform's configuration; default: COBALTSEAM_CONFIG")
  Path path;
}
