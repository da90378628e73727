package cobaltseam.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Limits how many retries this dispatcher may still make. Two limits apply: the retry budget of the
 * settings, which is a number of retries plus a ratio to the accepted requests within a window, and
 * the retries that the dispatchers may still make together.
 */
final class RetryAllowance {
  /** A retry budget; {@code endsAt} is null for the budget of the current settings. */
  private record Budget(double freeRetries, double ratio, TimeSpan window, Timestamp endsAt) {
    Budget endAt(Timestamp end) {
      return new Budget(freeRetries, ratio, window, end);
    }

    boolean matches(Deployment.Rules rules) {
      return freeRetries == rules.freeRetries()
          && ratio == rules.retryRatio()
          && window.equals(rules.retryWindow());
    }
  }

  /** The last budget belongs to the current settings; the others belong to earlier settings. */
  private final List<Budget> budgets = new ArrayList<>();

  private final Deque<Timestamp> acceptedAt = new ArrayDeque<>();
  private final Deque<Timestamp> retriedAt = new ArrayDeque<>();
  private long remainingRetries = Long.MAX_VALUE;

  /**
   * Adds the budget of changed settings; the budgets of earlier settings apply until their window
   * ends.
   */
  void applyRules(Deployment.Rules rules, Timestamp now) {
    budgets.replaceAll(b -> b.endsAt() != null ? b : b.endAt(now.plus(b.window())));
    addBudget(rules);
  }

  void addBudget(Deployment.Rules rules) {
    if (rules.retryWindow() != null) {
      budgets.removeIf(b -> b.matches(rules));
      budgets.add(new Budget(rules.freeRetries(), rules.retryRatio(), rules.retryWindow(), null));
    }
  }

  void setRemainingRetries(long retries) {
    remainingRetries = retries;
  }

  /** Returns whether all dispatchers together have no retries left. */
  boolean isExhausted() {
    return remainingRetries < 1;
  }

  void recordAccepted(Timestamp now) {
    removeExpired(now);
    acceptedAt.addLast(now);
  }

  void recordRetry(Timestamp now) {
    retriedAt.addLast(now);
  }

  boolean allowsRetry(Timestamp now) {
    removeExpired(now);
    return budgets.stream().allMatch(b -> allowsRetry(b, now));
  }

  private boolean allowsRetry(Budget budget, Timestamp now) {
    Timestamp from = now.minus(budget.window());
    long retries = retriedAt.stream().filter(at -> !at.isBefore(from)).count();
    long accepted = acceptedAt.stream().filter(from::isBefore).count();
    return retries + 1 <= budget.freeRetries() + budget.ratio() * accepted;
  }

  /**
   * Removes what lies outside every window. At the edge of a window, the stricter interpretation
   * applies: a retry still counts there and an accepted request does not.
   */
  private void removeExpired(Timestamp now) {
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
