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
 * Where the program starts. The commands of the platform, single words, are called directly, so
 * that no command-line library is loaded for them; everything else goes to the command line.
 */
public final class Main {
  private static final String LOG_FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";

  private Main() {}

  /**
   * Runs the command that the arguments name. The process ends with 1 if its input can't be used.
   *
   * @param args the words of the command line
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
          int code = CobaltseamCommand.run(args);
          if (code != 0) {
            System.exit(code);
          }
        }
      }
    } catch (InvalidInputException | IOException e) {
      System.err.println("cobaltseam: " + e.getMessage());
      System.exit(1);
    }
  }
}
