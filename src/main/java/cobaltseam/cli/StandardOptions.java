package cobaltseam.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The options for help and version that every command has. */
@Command(mixinStandardHelpOptions = true, versionProvider = StandardOptions.VersionProvider.class)
final class StandardOptions {
  /** Prints the version that the jar was built as. */
  static final class VersionProvider implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = StandardOptions.class.getPackage().getImplementationVersion();
      return new String[] {"cobaltseam " + (version == null ? "of no release" : version)};
    }
  }
}
