package cobaltseam.cli;

import cobaltseam.adapter.SimulatorAdapter;
import cobaltseam.deployment.InvalidInputException;
import cobaltseam.service.DispatcherService;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * The top-level command. {@link cobaltseam.Main} runs the platform's one-word commands directly,
 * without this class.
 */
@Command(
    name = "cobaltseam",
    description = "An admission controller and dispatcher for queries on a pool of engines.",
    subcommands = {
      CobaltseamCommand.ServeCommand.class,
      CobaltseamCommand.RehearseCommand.class,
      CobaltseamCommand.AdapterCommand.class,
      CheckCommand.class,
      MembersCommand.class,
      VrrpCommand.class
    },
    mixinStandardHelpOptions = true,
    versionProvider = StandardOptions.VersionProvider.class,
    synopsisSubcommandLabel = "COMMAND")
public final class CobaltseamCommand {
  private static final int EXIT_INVALID_INPUT = 1;

  private CobaltseamCommand() {}

  /**
   * Runs a command.
   *
   * @return the exit code: 0 for success, 1 for invalid input, 2 for incorrect usage
   */
  public static int run(String... args) {
    return run(null, args);
  }

  /** Like {@link #run(String...)}, but prints to a writer, or to standard output if it is null. */
  public static int run(PrintWriter out, String... args) {
    CommandLine commandLine = new CommandLine(new CobaltseamCommand());
    if (out != null) {
      commandLine.setOut(out);
    }
    labCommand("emulator.EmulateCommand")
        .ifPresent(command -> commandLine.addSubcommand("emulate", command));
    labCommand("fleet.FleetCommand")
        .ifPresent(command -> commandLine.addSubcommand("fleet", command));
    commandLine.setExecutionStrategy(new CommandLine.RunLast());
    commandLine.setExecutionExceptionHandler(
        (failure, command, parsed) -> {
          if (failure instanceof InvalidInputException || failure instanceof IOException) {
            command.getErr().println("cobaltseam: " + failure.getMessage());
            command.getErr().flush();
            return EXIT_INVALID_INPUT;
          }
          throw failure;
        });
    if (args.length == 0) {
      commandLine.usage(commandLine.getErr());
      return CommandLine.ExitCode.USAGE;
    }
    return commandLine.execute(args);
  }

  /** Returns a command that only the jar of the lab contains, or empty without that jar. */
  private static Optional<Object> labCommand(String className) {
    try {
      return Optional.of(
          Class.forName("cobaltseam." + className).getDeclaredConstructor().newInstance());
    } catch (ReflectiveOperationException e) {
      return Optional.empty();
    }
  }

  /** Runs the service until SIGTERM. */
  @Command(
      name = "serve",
      description =
          "Runs one dispatcher, configured by GW_CONFIG and the settings file, until SIGTERM.")
  static final class ServeCommand implements Callable<Integer> {
    @Mixin StandardOptions standardOptions;
    @Mixin SettingsFileOption settingsFile;

    @Override
    public Integer call() throws Exception {
      DispatcherService.run(settingsFile.path);
      return 0;
    }
  }

  /** Starts a service, sends it one empty query and exits. */
  @Command(
      name = "rehearse",
      description = "Starts a service on a free loopback port, sends it one empty query and exits.")
  static final class RehearseCommand implements Callable<Integer> {
    @Mixin StandardOptions standardOptions;

    @Override
    public Integer call() throws Exception {
      DispatcherService.rehearse();
      return 0;
    }
  }

  /** Runs the simulator adapter on standard input and output. */
  @Command(
      name = "adapter",
      description =
          "Answers the simulator, one batch of events per line, until standard input ends.")
  static final class AdapterCommand implements Callable<Integer> {
    @Mixin StandardOptions standardOptions;

    @Override
    public Integer call() throws Exception {
      new SimulatorAdapter()
          .run(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out));
      return 0;
    }
  }
}
