package cobaltseam.cli;

import cobaltseam.adapter.SimulatorAdapter;
import cobaltseam.deployment.InvalidInputException;
import cobaltseam.service.DispatcherService;
import cobaltseam.settings.Settings;
import cobaltseam.settings.SettingsReader;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** The command line with its options; the bare words of the platform never come here. */
@Command(
    name = "cobaltseam",
    description = "An admission controller and dispatcher for commands on a pool of engines.",
    subcommands = {
      CobaltseamCommand.Serve.class,
      CobaltseamCommand.Rehearse.class,
      CobaltseamCommand.Adapt.class,
      CobaltseamCommand.Check.class,
      Members.class,
      Vrrp.class
    },
    mixinStandardHelpOptions = true,
    versionProvider = CobaltseamCommand.Version.class,
    synopsisSubcommandLabel = "COMMAND")
public final class CobaltseamCommand {
  private static final int BAD_INPUT = 1;

  /** The version that the jar was built as. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = CobaltseamCommand.class.getPackage().getImplementationVersion();
      return new String[] {"cobaltseam " + (version == null ? "of no release" : version)};
    }
  }

  /** Help and version, at every command. */
  @Command(mixinStandardHelpOptions = true, versionProvider = Version.class)
  static final class Standard {}

  /** The own file, where one is named. */
  static final class Own {
    @Option(
        names = "--config",
        paramLabel = "FILE",
        defaultValue = "${env:COBALTSEAM_CONFIG}",
        description =
            "what is on beyond the platform's configuration; default: COBALTSEAM_CONFIG, or nothing")
    Path file;
  }

  private CobaltseamCommand() {}

  /**
   * Runs a command; its exit code is 0, 1 where its input is bad, or 2 where it is not used as it
   * is meant.
   */
  public static int run(String... args) {
    return run(null, args);
  }

  /** The same, with what is printed going to a writer; null for standard output. */
  public static int run(PrintWriter out, String... args) {
    CommandLine line = new CommandLine(new CobaltseamCommand());
    if (out != null) {
      line.setOut(out);
    }
    lab("emulator.EmulateCommand").ifPresent(e -> line.addSubcommand("emulate", e));
    lab("fleet.FleetCommand").ifPresent(f -> line.addSubcommand("fleet", f));
    line.setExecutionStrategy(new CommandLine.RunLast());
    line.setExecutionExceptionHandler(
        (e, of, parsed) -> {
          if (e instanceof InvalidInputException || e instanceof IOException) {
            of.getErr().println("cobaltseam: " + e.getMessage());
            of.getErr().flush();
            return BAD_INPUT;
          }
          throw e;
        });
    if (args.length == 0) {
      line.usage(line.getErr());
      return CommandLine.ExitCode.USAGE;
    }
    return line.execute(args);
  }

  /** The commands of the lab, where this is the jar that has them. */
  private static Optional<Object> lab(String name) {
    try {
      return Optional.of(
          Class.forName("cobaltseam." + name).getDeclaredConstructor().newInstance());
    } catch (ReflectiveOperationException e) {
      return Optional.empty();
    }
  }

  /** Serves. */
  @Command(
      name = "serve",
      description = "Serves as one dispatcher, by GW_CONFIG and its own file, until SIGTERM.")
  static final class Serve implements Callable<Integer> {
    @Mixin Standard standard;
    @Mixin Own own;

    @Override
    public Integer call() throws Exception {
      DispatcherService.run(own.file);
      return 0;
    }
  }

  /** Rehearses. */
  @Command(
      name = "rehearse",
      description = "Opens a service on a free loopback port, asks it one empty query, and ends.")
  static final class Rehearse implements Callable<Integer> {
    @Mixin Standard standard;

    @Override
    public Integer call() throws Exception {
      DispatcherService.rehearse();
      return 0;
    }
  }

  /** Answers the simulator. */
  @Command(
      name = "adapter",
      description = "Answers the simulator, a batch of events a line, until its input ends.")
  static final class Adapt implements Callable<Integer> {
    @Mixin Standard standard;

    @Override
    public Integer call() throws Exception {
      new SimulatorAdapter()
          .run(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out));
      return 0;
    }
  }

  /** Checks both configurations. */
  @Command(
      name = "check",
      description =
          "Reads GW_CONFIG, where it is set, and the own file, and prints what would be on.")
  static final class Check implements Callable<Integer> {
    @Mixin Standard standard;
    @Mixin Own own;
    @CommandLine.Spec CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
      PrintWriter out = spec.commandLine().getOut();
      StringBuilder wrong = new StringBuilder();
      try {
        out.println(
            System.getenv("GW_CONFIG") == null
                ? "platform: GW_CONFIG is not set, not checked"
                : "platform: " + DispatcherService.check(System.getenv()));
      } catch (InvalidInputException e) {
        wrong.append(e.getMessage()).append('\n');
      }
      try {
        Settings setup = own.file == null ? Settings.OFF : SettingsReader.read(own.file);
        out.println("own file: " + (own.file == null ? "none" : own.file));
        out.println("logging: " + (setup.jsonLog() ? "json" : "text"));
        out.println(
            "mastership: "
                + (setup.hall() == null
                    ? "off"
                    : "on, adverts at "
                        + setup.hall().listen()
                        + ", "
                        + setup.hall().peers().size()
                        + " peers, seals "
                        + (setup.hall().sealing() == null
                            ? "off"
                            : "on, " + setup.hall().sealing().keys())));
        out.println(
            "membership: "
                + (setup.fleet() == null
                    ? "off"
                    : "on, fleet "
                        + setup.fleet().fleet()
                        + ", heard at "
                        + setup.fleet().listen()
                        + ", "
                        + setup.fleet().seeds().size()
                        + " seeds, founders "
                        + setup.fleet().founders()
                        + ", period "
                        + setup.fleet().period().us() / 1000
                        + " ms, seals "
                        + (setup.fleet().sealing() == null
                            ? "off"
                            : "on, " + setup.fleet().sealing().keys())));
        if (setup.hall() != null) {
          setup
              .hall()
              .seats()
              .forEach(
                  s ->
                      out.println(
                          "  virtual router "
                              + s.terms().router()
                              + ": priority "
                              + s.terms().priority()
                              + ", interval "
                              + s.terms().advertisementInterval().us() / 1000
                              + " ms, preempts "
                              + s.terms().preempts()
                              + ", serves on "
                              + s.serve()));
        }
      } catch (InvalidInputException e) {
        wrong.append(e.getMessage()).append('\n');
      }
      out.flush();
      if (wrong.length() > 0) {
        throw new InvalidInputException(wrong.toString().strip());
      }
      return 0;
    }
  }
}
