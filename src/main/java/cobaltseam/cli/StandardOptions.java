package cobaltseam.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The help and version options of every command. */
@Command(mixinStandardHelpOptions = true, versionProvider = StandardOptions.VersionProvider.class)
final class StandardOptions {
  /** Returns the implementation version in the manifest of the jar. */
  static final class VersionProvider implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = StandardOptions.class.getPackage().getImplementationVersion();
      return new String[] {"cobaltseam " + (version == null ? "of no release" : version)};
    }
  }
}
