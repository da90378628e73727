package cobaltseam.emulator;

import cobaltseam.deployment.InvalidInputException;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** A fault script: a TOML file with one table per fault, which users can edit. */
record FaultScript(@JsonProperty("faults") List<Fault> faults) {
  private static final TomlMapper TOML =
      TomlMapper.builder()
          .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .enable(
              DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES,
              DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  /**
   * Reads a fault script.
   *
   * @throws InvalidInputException if the file cannot be read, or has faults that the site does not
   *     allow
   */
  static List<Fault> read(Path file, EmulatedSite site) {
    FaultScript script;
    try {
      script = TOML.readValue(Files.readString(file), FaultScript.class);
    } catch (JacksonException e) {
      throw new InvalidInputException(file + ": " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidInputException(file + " cannot be read: " + e.getMessage());
    }
    List<Fault> faults = script.faults == null ? List.of() : script.faults;
    for (Fault fault : faults) {
      boolean validEngines =
          fault.engines().stream().allMatch(e -> e >= 0 && e < site.engines().count());
      boolean validTarget =
          fault.target() >= 0
              && (fault.kind() == Fault.Kind.FLOOD
                  ? fault.target() < site.tenants().size()
                  : fault.target() < site.dispatchers());
      if (!validEngines
          || !validTarget
          || !(fault.atS() >= 0)
          || !(fault.lengthS() > 0)
          || !(fault.size() > 0)) {
        throw new InvalidInputException(
            file
                + ": "
                + fault
                + ": allowed are engines from 0 to "
                + (site.engines().count() - 1)
                + ", the index of a tenant or dispatcher of the site as who, atS from 0, and lengthS and"
                + " size above 0");
      }
    }
    return faults;
  }

  /** Formats faults as a script that {@link #read} accepts. */
  static String write(List<Fault> faults) {
    return faults.stream()
        .map(
            fault ->
                String.format(
                    Locale.ROOT,
                    "[[faults]]%nkind = \"%s\"%natS = %s%nlengthS = %s%nengines = %s%nsize = %s%nwho = %d%n",
                    fault.kind().label(),
                    fault.atS(),
                    fault.lengthS(),
                    fault.engines(),
                    fault.size(),
                    fault.target()))
        .collect(Collectors.joining("\n"));
  }
}
