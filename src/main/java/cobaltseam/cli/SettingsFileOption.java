package cobaltseam.cli;

import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The option that names our own settings file. */
final class SettingsFileOption {
  /** The file, or null where none is named. */
  @Option(
      names = "--config",
      paramLabel = "FILE",
      defaultValue = "${env:COBALTSEAM_CONFIG}",
      description =
          "what is on beyond the platform's configuration; default: COBALTSEAM_CONFIG, or nothing")
  Path file;
}
