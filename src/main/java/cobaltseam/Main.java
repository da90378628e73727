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
 * Where the program starts. The bare words of the platform go straight to what they name, so that
 * no library of the command line is loaded for them; all else is the command line's.
 */
public final class Main {
  private static final String LOG_FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";

  private Main() {}

  public static void main(String[] args) throws InterruptedException {
    System.setProperty("java.util.logging.SimpleFormatter.format", LOG_FORMAT);
    String word = args.length == 1 ? args[0] : "";
    String own = System.getenv("COBALTSEAM_CONFIG");
    try {
      switch (word) {
        case "adapter" ->
            new SimulatorAdapter()
                .run(
                    new FileInputStream(FileDescriptor.in),
                    new FileOutputStream(FileDescriptor.out));
        case "serve" -> DispatcherService.run(own == null || own.isEmpty() ? null : Path.of(own));
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
