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

/** The command line. The platform's own command words are handled before it is reached. */
@Command(
    name = "cobaltseam",
    description = "An admission controller and dispatcher for commands on a pool of engines.",
    subcommands = {
      CobaltseamCommand.Serve.class,
      CobaltseamCommand.Rehearse.class,
      CobaltseamCommand.Adapt.class,
      CheckCommand.class,
      MembersCommand.class,
      VrrpCommand.class
    },
    mixinStandardHelpOptions = true,
    versionProvider = StandardOptions.VersionProvider.class,
    synopsisSubcommandLabel = "COMMAND")
public final class CobaltseamCommand {
  private static final int EXIT_BAD_INPUT = 1;

  private CobaltseamCommand() {}

  /**
   * Runs a command.
   *
   * @return the exit code: 0, or 1 for invalid input, or 2 for wrong usage
   */
  public static int run(String... args) {
    return run(null, args);
  }

  /** Like {@link #run(String...)}, but prints to a writer; null is standard output. */
  public static int run(PrintWriter out, String... args) {
    CommandLine line = new CommandLine(new CobaltseamCommand());
    if (out != null) {
      line.setOut(out);
    }
    labCommand("emulator.EmulateCommand")
        .ifPresent(command -> line.addSubcommand("emulate", command));
    labCommand("fleet.FleetCommand").ifPresent(command -> line.addSubcommand("fleet", command));
    line.setExecutionStrategy(new CommandLine.RunLast());
    line.setExecutionExceptionHandler(
        (failure, command, parsed) -> {
          if (failure instanceof InvalidInputException || failure instanceof IOException) {
            command.getErr().println("cobaltseam: " + failure.getMessage());
            command.getErr().flush();
            return EXIT_BAD_INPUT;
          }
          throw failure;
        });
    if (args.length == 0) {
      line.usage(line.getErr());
      return CommandLine.ExitCode.USAGE;
    }
    return line.execute(args);
  }

  /** A command of the lab, which is only in the lab's jar. */
  private static Optional<Object> labCommand(String name) {
    try {
      return Optional.of(
          Class.forName("cobaltseam." + name).getDeclaredConstructor().newInstance());
    } catch (ReflectiveOperationException e) {
      return Optional.empty();
    }
  }

  /** Runs the service until SIGTERM. */
  @Command(
      name = "serve",
      description = "Serves as one dispatcher, by GW_CONFIG and its own file, until SIGTERM.")
  static final class Serve implements Callable<Integer> {
    @Mixin StandardOptions standard;
    @Mixin SettingsFileOption own;

    @Override
    public Integer call() throws Exception {
      DispatcherService.run(own.file);
      return 0;
    }
  }

  /** Opens a service, sends it one empty query, and ends. */
  @Command(
      name = "rehearse",
      description = "Opens a service on a free loopback port, asks it one empty query, and ends.")
  static final class Rehearse implements Callable<Integer> {
    @Mixin StandardOptions standard;

    @Override
    public Integer call() throws Exception {
      DispatcherService.rehearse();
      return 0;
    }
  }

  /** Runs the simulator adapter on standard input and output. */
  @Command(
      name = "adapter",
      description = "Answers the simulator, a batch of events a line, until its input ends.")
  static final class Adapt implements Callable<Integer> {
    @Mixin StandardOptions standard;

    @Override
    public Integer call() throws Exception {
      new SimulatorAdapter()
          .run(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out));
      return 0;
    }
  }
}
