package cobaltseam.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cobaltseam.deployment.DeploymentReader;
import cobaltseam.deployment.JsonObjectReader;
import cobaltseam.dispatch.Deployment;
import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Each component of two deployments is merged into a value that contradicts neither of them. */
class ConservativeMergeTest {
  private static final String TEXT =
      """
            {"balancers":2,"position":0,"tick_us":5000,"classes":[{"name":"look","aim_us":500000,"hard_limit_us":3000000,"repeat":"read_like",
            "key_scope":"all","window_us":100,"late_value":0.5,"importance":1}],"projects":[{"name":"acme","quota_rps":1000}],
            "machine_types":["m"],"family_info":{"cores_by_kind":[4],"width_by_class":[2],"takes_grants":true},"over_share_worth":0.5,
            "rules":{"cold_from":0.3,"key_rest_us":10,"counted_over_us":1000,"spare_attempts":5,"repeat_ratio":0.1},
            "limits":{"most_tries":3,"cancel":true,"retry_after":true,"max_retry_after_us":500000}}""";

  private static Deployment read(String from, String to) {
    assertTrue(TEXT.contains(from), from);
    try {
      return DeploymentReader.read(
          JsonObjectReader.of(new JsonFactory().createParser(TEXT.replace(from, to))));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static final Deployment BASE = read("{", "{");

  @Test
  void everyRecordComponentHasATableEntry() {
    Set<String> components = new TreeSet<>();
    for (Class<?> type :
        new Class<?>[] {
          Deployment.class,
          Deployment.RequestClass.class,
          Deployment.MachineType.class,
          Deployment.Quota.class,
          Deployment.Rules.class,
          Deployment.Capabilities.class
        }) {
      Arrays.stream(type.getRecordComponents())
          .forEach(component -> components.add(type.getSimpleName() + "." + component.getName()));
    }
    assertEquals(components, new TreeSet<>(ConservativeMerge.TABLE.keySet()));
  }

  @Test
  void valuesThatConcernOneDispatcherDoNotContradict() {
    for (Deployment other :
        new Deployment[] {
          read("\"aim_us\":500000", "\"aim_us\":400000"),
          read("\"importance\":1", "\"importance\":9"),
          read("\"late_value\":0.5", "\"late_value\":0.1"),
          read("\"tick_us\":5000", "\"tick_us\":1000")
        }) {
      assertFalse(other.equals(BASE));
      assertFalse(ConservativeMerge.contradict(BASE, other));
      assertEquals(other, ConservativeMerge.merge(BASE, other));
    }
  }

  @Test
  void mergeTakesTheStricterValueInEitherOrder() {
    String[][] stricterValues = {
      {"\"most_tries\":3", "\"most_tries\":2"},
      {"\"cancel\":true", "\"cancel\":false"},
      {"\"takes_grants\":true", "\"takes_grants\":false"},
      {"\"quota_rps\":1000", "\"quota_rps\":100"},
      {"read_like", "non_idempotent"},
      {"\"key_scope\":\"all\"", "\"key_scope\":\"cell\""},
      {"\"window_us\":100", "\"window_us\":50"},
      {"\"balancers\":2", "\"balancers\":5"},
      {"\"key_rest_us\":10", "\"key_rest_us\":99"},
      {"\"spare_attempts\":5", "\"spare_attempts\":1"},
      {"\"hard_limit_us\":3000000", "\"hard_limit_us\":1000000"},
      {"\"width_by_class\":[2]", "\"width_by_class\":[3]"},
      {"\"cores_by_kind\":[4]", "\"cores_by_kind\":[2]"},
      {"\"late_value\":0.5", "\"late_value\":0.5,\"in_order\":true"},
      {"\"late_value\":0.5", "\"late_value\":0.5,\"runs_on\":[\"m\"]"},
      {"\"max_retry_after_us\":500000", "\"max_retry_after_us\":5"},
      {"\"over_share_worth\":0.5", "\"over_share_worth\":0.1"}
    };
    for (String[] change : stricterValues) {
      Deployment stricter = read(change[0], change[1]);
      assertTrue(ConservativeMerge.contradict(BASE, stricter), change[1]);
      assertEquals(stricter, ConservativeMerge.merge(BASE, stricter), change[1]);
      assertEquals(stricter, ConservativeMerge.merge(stricter, BASE), change[1]);
    }
  }

  @Test
  void itemsOfOnlyOneDeploymentAreKept() {
    Deployment other = read("\"name\":\"look\"", "\"name\":\"load\"");
    assertEquals(2, ConservativeMerge.merge(BASE, other).requestClasses().size());
    assertTrue(ConservativeMerge.contradict(BASE, other));
  }

  @Test
  void withoutRetriesAllowsOneAttemptAndNoCancellation() {
    Deployment conservative = ConservativeMerge.withoutRetries(BASE);
    assertEquals(1, conservative.capabilities().maxAttempts());
    assertEquals(
        Deployment.RetrySafety.NOT_IDEMPOTENT, conservative.requestClasses().get(0).retrySafety());
    assertFalse(conservative.capabilities().canCancel());
  }

  @Test
  void valuesThatAffectEngineChoiceAreTakenFromTheLaterDeployment() {
    Deployment loadingDeployment =
        read(
            "\"width_by_class\":[2]",
            "\"width_by_class\":[2],\"writes_tables\":[true],\"waits_for_loads\":[true]");
    assertFalse(loadingDeployment.equals(BASE));
    assertFalse(ConservativeMerge.contradict(BASE, loadingDeployment));
    assertEquals(loadingDeployment, ConservativeMerge.merge(BASE, loadingDeployment));
    assertTrue(
        ConservativeMerge.withoutRetries(loadingDeployment).requestClasses().get(0).loadsDataSet()
            && ConservativeMerge.withoutRetries(loadingDeployment)
                .requestClasses()
                .get(0)
                .waitsForLoads());
    assertEquals(
        loadingDeployment.site(), ConservativeMerge.withoutRetries(loadingDeployment).site());
  }
}
