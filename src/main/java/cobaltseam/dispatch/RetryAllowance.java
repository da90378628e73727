package cobaltseam.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * How many retries this dispatcher may still make: by the settings' budget, a number of retries and
 * a ratio to the accepted requests within a window, and by what the dispatchers may still do
 * together.
 */
final class RetryAllowance {
  /** One budget; {@code endsAt} is null for the present settings' own. */
  private record Budget(double freeRetries, double ratio, TimeSpan window, Timestamp endsAt) {
    Budget endAt(Timestamp end) {
      return new Budget(freeRetries, ratio, window, end);
    }

    boolean isOf(Deployment.Rules rules) {
      return freeRetries == rules.freeRetries()
          && ratio == rules.retryRatio()
          && window.equals(rules.retryWindow());
    }
  }

  /** The last one is of the present settings, each other one of earlier settings. */
  private final List<Budget> budgets = new ArrayList<>();

  private final Deque<Timestamp> acceptedAt = new ArrayDeque<>();
  private final Deque<Timestamp> retriedAt = new ArrayDeque<>();
  private long remainingRetries = Long.MAX_VALUE;

  /** Adds the budget of new settings; those of earlier settings hold until their window ends. */
  void applyRules(Deployment.Rules rules, Timestamp now) {
    budgets.replaceAll(b -> b.endsAt() != null ? b : b.endAt(now.plus(b.window())));
    addBudget(rules);
  }

  void addBudget(Deployment.Rules rules) {
    if (rules.retryWindow() != null) {
      budgets.removeIf(b -> b.isOf(rules));
      budgets.add(new Budget(rules.freeRetries(), rules.retryRatio(), rules.retryWindow(), null));
    }
  }

  void setRemainingRetries(long retries) {
    remainingRetries = retries;
  }

  /** Whether all dispatchers together may retry no more. */
  boolean isExhausted() {
    return remainingRetries < 1;
  }

  void recordAccepted(Timestamp now) {
    forget(now);
    acceptedAt.addLast(now);
  }

  void recordRetry(Timestamp now) {
    retriedAt.addLast(now);
  }

  boolean allowsRetry(Timestamp now) {
    forget(now);
    return budgets.stream().allMatch(b -> allowsRetry(b, now));
  }

  private boolean allowsRetry(Budget budget, Timestamp now) {
    Timestamp from = now.minus(budget.window());
    long retries = retriedAt.stream().filter(at -> !at.isBefore(from)).count();
    long accepted = acceptedAt.stream().filter(from::isBefore).count();
    return retries + 1 <= budget.freeRetries() + budget.ratio() * accepted;
  }

  /** Drops what lies outside every window; on a window's edge, the stricter reading counts. */
  private void forget(Timestamp now) {
    budgets.removeIf(b -> b.endsAt() != null && !now.isBefore(b.endsAt()));
    TimeSpan longest =
        budgets.stream().map(Budget::window).max(TimeSpan::compareTo).orElse(TimeSpan.ZERO);
    Timestamp from = now.minus(longest);
    while (!acceptedAt.isEmpty() && !from.isBefore(acceptedAt.peekFirst())) {
      acceptedAt.removeFirst();
    }
    while (!retriedAt.isEmpty() && retriedAt.peekFirst().isBefore(from)) {
      retriedAt.removeFirst();
    }
  }
}
