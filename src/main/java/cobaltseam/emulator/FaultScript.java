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

/** Faults as a file that people can read and change: TOML, a table each. */
record FaultScript(@JsonProperty("faults") List<Fault> faults) {
  private static final TomlMapper TOML =
      TomlMapper.builder()
          .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .enable(
              DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES,
              DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  /**
   * @throws InvalidInputException with what can't be used for this world
   */
  static List<Fault> read(Path file, EmulatedSite world) {
    FaultScript script;
    try {
      script = TOML.readValue(Files.readString(file), FaultScript.class);
    } catch (JacksonException e) {
      throw new InvalidInputException(file + ": " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new InvalidInputException(file + " can't be read: " + e.getMessage());
    }
    List<Fault> faults = script.faults == null ? List.of() : script.faults;
    for (Fault f : faults) {
      boolean engines = f.engines().stream().allMatch(e -> e >= 0 && e < world.engines().count());
      boolean who =
          f.target() >= 0
              && (f.kind() == Fault.Kind.FLOOD
                  ? f.target() < world.tenants().size()
                  : f.target() < world.dispatchers());
      if (!engines || !who || !(f.atS() >= 0) || !(f.lengthS() > 0) || !(f.size() > 0)) {
        throw new InvalidInputException(
            file
                + ": "
                + f
                + ": engines from 0 to "
                + (world.engines().count() - 1)
                + ", a holder or dispatcher that is there, atS from 0, lengthS and size above 0 are allowed");
      }
    }
    return faults;
  }

  /** The same as text. */
  static String write(List<Fault> faults) {
    return faults.stream()
        .map(
            f ->
                String.format(
                    Locale.ROOT,
                    "[[faults]]%nkind = \"%s\"%natS = %s%nlengthS = %s%nengines = %s%nsize = %s%nwho = %d%n",
                    f.kind().label(),
                    f.atS(),
                    f.lengthS(),
                    f.engines(),
                    f.size(),
                    f.target()))
        .collect(Collectors.joining("\n"));
  }
}
