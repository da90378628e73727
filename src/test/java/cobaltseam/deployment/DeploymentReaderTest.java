package cobaltseam.deployment;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.MachineTypeId;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the conversion of the platform's parameters to a deployment, with their defaults. */
class DeploymentReaderTest {
  private static final String CLASSES =
      "\"classes\": [{\"name\": \"lookup\", \"aim_us\": 500000, \"hard_limit_us\": "
          + "2500000, \"repeat\": \"read_like\"}, {\"name\": \"report\", \"aim_us\": 2000000, \"hard_limit_us\": "
          + "20000000, \"repeat\": \"read_like\" RUNS}], ";

  private static Deployment read(String runsOn, String rules, String limits, String family) {
    String json =
        "{\"balancers\": 50, \"position\": 3, \"tick_us\": 5000, "
            + CLASSES.replace("RUNS", runsOn)
            + "\"machine_types\": [\"c8\", \"c16\"], \"family_info\": {\"cores_by_kind\": [8, 16], "
            + "\"width_by_class\": [1, 4]"
            + family
            + "}, \"limits\": {\"cancel\": false"
            + limits
            + "}, "
            + "\"rules\": {\"cold_from\": 0.33"
            + rules
            + "}}";
    try (JsonParser parser = new JsonFactory().createParser(json)) {
      return DeploymentReader.read(JsonObjectReader.of(parser));
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void missingOptionalFieldsHaveTheirDefaults() {
    Deployment deployment = read("", "", "", "");
    assertNull(deployment.rules().retryWindow(), "no retry budget");
    assertNull(deployment.requestClasses().get(1).machineTypes(), "any machine type");
    assertFalse(deployment.capabilities().allowsRetryAfter());
    assertEquals(1, deployment.capabilities().maxAttempts());
  }

  @Test
  void retryBudgetAndMachineTypesOfARequestClassAreRead() {
    Deployment deployment =
        read(
            ", \"runs_on\": [\"c8\"]",
            ", \"spare_attempts\": 2, \"repeat_ratio\": 0.2, \"counted_over_us\": 10000000",
            ", \"most_tries\": 5, \"retry_after\": false, \"max_retry_after_us\": 2000000",
            "");
    assertEquals(2.0, deployment.rules().freeRetries());
    assertEquals(0.2, deployment.rules().retryRatio());
    assertEquals(10_000_000, deployment.rules().retryWindow().us());
    assertEquals(
        List.of(new MachineTypeId("c8")), deployment.requestClasses().get(1).machineTypes());
    assertFalse(deployment.capabilities().allowsRetryAfter(), "clients receive no retry-after");
    assertEquals(5, deployment.capabilities().maxAttempts());
  }

  @Test
  void valuesOutOfRangeAreRejected() {
    assertThrows(InvalidInputException.class, () -> read(", \"runs_on\": [\"std-a\"]", "", "", ""));
    assertThrows(
        InvalidInputException.class,
        () -> read("", ", \"repeat_ratio\": -1, \"counted_over_us\": 10000000", "", ""));
    assertThrows(InvalidInputException.class, () -> read("", ", \"counted_over_us\": 0", "", ""));
    assertThrows(InvalidInputException.class, () -> read("", "", ", \"most_tries\": 0", ""));
    assertThrows(
        InvalidInputException.class, () -> read("", "", "", ", \"out_of_memory\": \"swap\""));
    assertDoesNotThrow(() -> read("", "", "", ", \"out_of_memory\": \"page\""));
  }
}
