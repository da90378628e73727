package cobaltseam.testing;

import cobaltseam.standin.SystemCallFaults;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;
import org.junit.jupiter.api.extension.ConditionEvaluationResult;
import org.junit.jupiter.api.extension.ExecutionCondition;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Marks tests that compile a C library; they are skipped, and say so, where there is no compiler.
 */
@Target(ElementType.TYPE)
@Retention(RetentionPolicy.RUNTIME)
@ExtendWith(RequiresCompiler.Condition.class)
public @interface RequiresCompiler {
  /** Checks once for each class whether the compiler is installed. */
  final class Condition implements ExecutionCondition {
    @Override
    public ConditionEvaluationResult evaluateExecutionCondition(ExtensionContext context) {
      if (SystemCallFaults.isCompilerInstalled()) {
        return ConditionEvaluationResult.enabled("a C compiler is installed");
      }
      System.out.println("NOT RUN, no C compiler is installed: " + context.getDisplayName());
      return ConditionEvaluationResult.disabled("no C compiler is installed");
    }
  }
}
