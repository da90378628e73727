package cobaltseam.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Passes over the tests that {@code KNOWN-RED.txt} lists, unless {@code -DknownRed=run} is given.
 * It is registered for all tests; a test that is not in the file always runs.
 */
public final class KnownRedCondition implements ExecutionCondition {
  private static final Path FILE = Path.of("KNOWN-RED.txt");
  private static final String ENTRY = "test:";
  private static final Set<String> KNOWN_RED = read();

  private static Set<String> read() {
    try {
      return Files.exists(FILE)
          ? Files.readAllLines(FILE).stream()
              .filter(line -> line.startsWith(ENTRY))
              .map(line -> line.substring(ENTRY.length()).strip())
              .collect(Collectors.toUnmodifiableSet())
          : Set.of();
    } catch (IOException e) {
      throw new UncheckedIOException("KNOWN-RED.txt can't be read", e);
    }
  }

  @Override
  public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
    Optional<Method> method = context.getTestMethod();
    String name = method.map(m -> m.getDeclaringClass().getName() + "#" + m.getName()).orElse("");
    boolean isPassedOver =
        KNOWN_RED.contains(name) && !"run".equals(System.getProperty("knownRed"));
    return isPassedOver
        ? ConditionEvaluationResult.disabled("known red: " + name)
        : ConditionEvaluationResult.enabled("not known red");
  }
}
