package cobaltseam.cli;

import cobaltseam.deployment.InvalidInputException;
import cobaltseam.service.DispatcherService;
import cobaltseam.settings.Settings;
import cobaltseam.settings.SettingsReader;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Validates the platform's configuration and the settings file, and prints what they enable. */
@Command(
    name = "check",
    description =
        "Validates GW_CONFIG, if it is set, and the settings file, and prints what they enable.")
final class CheckCommand implements Callable<Integer> {
  private static final long US_PER_MS = 1000;

  @Mixin StandardOptions standardOptions;
  @Mixin SettingsFileOption settingsFile;
  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() {
    PrintWriter out = spec.commandLine().getOut();
    List<String> errors = new ArrayList<>();
    try {
      out.println(
          System.getenv("GW_CONFIG") == null
              ? "platform: GW_CONFIG is not set, not checked"
              : "platform: " + DispatcherService.check(System.getenv()));
    } catch (InvalidInputException e) {
      errors.add(e.getMessage());
    }
    try {
      Settings settings =
          settingsFile.path == null ? Settings.OFF : SettingsReader.read(settingsFile.path);
      out.println("own file: " + (settingsFile.path == null ? "none" : settingsFile.path));
      out.println("logging: " + (settings.logsJson() ? "json" : "text"));
      out.println("mastership: " + describe(settings.virtualAddresses()));
      out.println("membership: " + describe(settings.membership()));
      if (settings.virtualAddresses() != null) {
        settings.virtualAddresses().routers().forEach(router -> out.println(describe(router)));
      }
    } catch (InvalidInputException e) {
      errors.add(e.getMessage());
    }
    out.flush();
    if (!errors.isEmpty()) {
      throw new InvalidInputException(String.join("\n", errors).strip());
    }
    return 0;
  }

  private static String describe(Settings.VirtualAddressSettings settings) {
    if (settings == null) {
      return "off";
    }
    return "on, adverts at "
        + settings.listen()
        + ", "
        + settings.peers().size()
        + " peers, seals "
        + describe(settings.authentication());
  }

  private static String describe(Settings.MembershipSettings settings) {
    if (settings == null) {
      return "off";
    }
    return "on, fleet "
        + settings.fleet()
        + ", heard at "
        + settings.listen()
        + ", "
        + settings.seeds().size()
        + " seeds, founders "
        + settings.bootstrapMembers()
        + ", period "
        + settings.period().us() / US_PER_MS
        + " ms, seals "
        + describe(settings.authentication());
  }

  private static String describe(Settings.AuthenticationSettings settings) {
    return settings == null ? "off" : "on, " + settings.keys();
  }

  private static String describe(Settings.RouterSettings router) {
    return "  virtual router "
        + router.options().router()
        + ": priority "
        + router.options().priority()
        + ", interval "
        + router.options().advertisementInterval().us() / US_PER_MS
        + " ms, preempts "
        + router.options().preempts()
        + ", serves on "
        + router.serviceAddress();
  }
}
