package cobaltseam;

import cobaltseam.adapter.SimulatorAdapter;
import cobaltseam.cli.CobaltseamCommand;
import cobaltseam.deployment.InvalidInputException;
import cobaltseam.service.DispatcherService;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Path;

/**
 * The entry point of the program. Runs the platform's one-word commands directly, so that the
 * command-line library is not loaded for them, and passes all other arguments to {@link
 * CobaltseamCommand}.
 */
public final class Main {
  private static final String LOG_FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";

  private Main() {}

  /**
   * Runs the command that the arguments name. The process exits with code 1 if input is invalid or
   * reading or writing fails, and otherwise with the exit code of the command.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) throws InterruptedException {
    System.setProperty("java.util.logging.SimpleFormatter.format", LOG_FORMAT);
    String command = args.length == 1 ? args[0] : "";
    String settingsFile = System.getenv("COBALTSEAM_CONFIG");
    try {
      switch (command) {
        case "adapter" ->
            new SimulatorAdapter()
                .run(
                    new FileInputStream(FileDescriptor.in),
                    new FileOutputStream(FileDescriptor.out));
        case "serve" ->
            DispatcherService.run(
                settingsFile == null || settingsFile.isEmpty() ? null : Path.of(settingsFile));
        case "rehearse" -> DispatcherService.rehearse();
        default -> {
          int exitCode = CobaltseamCommand.run(args);
          if (exitCode != 0) {
            System.exit(exitCode);
          }
        }
      }
    } catch (InvalidInputException | IOException e) {
      System.err.println("cobaltseam: " + e.getMessage());
      System.exit(1);
    }
  }
}
