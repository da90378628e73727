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
 * Guards the printed labels of enums, such as counters and rejection reasons, on which operators'
 * scripts depend. Each row of {@code printed-names.txt} names an enum and the labels of its
 * constants in order. A class or a constant may be renamed, a label may not.
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
    String[] classAndLabels = row.split(": ");
    Class<?> type = Class.forName("cobaltseam." + classAndLabels[0]);
    Method label = type.getDeclaredMethod("label");
    label.setAccessible(true);
    List<String> labels = new ArrayList<>();
    for (Object constant : type.getEnumConstants()) {
      labels.add((String) label.invoke(constant));
    }
    assertEquals(List.of(classAndLabels[1].split(" ")), labels);
  }
}
