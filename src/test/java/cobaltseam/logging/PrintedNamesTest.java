package cobaltseam.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Method;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Counters, reasons and kinds of fault are printed, parsed and scripted against. Each row of {@code
 * printed-names.txt} is an enum and the labels that commit f2adcf2 printed for its constants, in
 * order; a class or a constant may be renamed, a label may not.
 */
class PrintedNamesTest {
  static List<String> rows() throws IOException {
    String file = "/cobaltseam/printed-names.txt";
    try (InputStream in = PrintedNamesTest.class.getResourceAsStream(file)) {
      assertNotNull(in);
      return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
    }
  }

  @ParameterizedTest
  @MethodSource("rows")
  void labelsAreUnchanged(String row) throws ReflectiveOperationException {
    String[] parts = row.split(": ");
    Class<?> type = Class.forName("cobaltseam." + parts[0]);
    Method label = type.getDeclaredMethod("label");
    label.setAccessible(true);
    List<String> printed = new ArrayList<>();
    for (Object constant : type.getEnumConstants()) {
      printed.add((String) label.invoke(constant));
    }
    assertEquals(List.of(parts[1].split(" ")), printed);
  }
}
