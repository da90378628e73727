package cobaltseam.service;

import java.util.LinkedHashSet;
import java.util.Set;

/** Clients with no open statement, the longest idle first, and which of them is evicted first. */
final class IdleClients {
  private final int maxClients;
  private final Set<ClientSession> withoutStatement = new LinkedHashSet<>();
  private final Set<ClientSession> withOneStatement = new LinkedHashSet<>();
  private final Set<ClientSession> withMoreStatements = new LinkedHashSet<>();

  /**
   * @param maxClients how many clients may be connected
   */
  IdleClients(int maxClients) {
    this.maxClients = maxClients;
  }

  /** Removes a client, and adds it again as the last to be evicted if it is idle. */
  void update(ClientSession client, boolean isIdle) {
    withoutStatement.remove(client);
    withOneStatement.remove(client);
    withMoreStatements.remove(client);
    if (isIdle && !client.isEvicting) {
      group(client.statementCount).add(client);
    }
  }

  private Set<ClientSession> group(int statementCount) {
    return switch (statementCount) {
      case 0 -> withoutStatement;
      case 1 -> withOneStatement;
      default -> withMoreStatements;
    };
  }

  /**
   * The client to evict, or null if none is idle. Those that never sent a statement go first while
   * they hold more than half of the connections, then those that sent one, as a client that reuses
   * its connection does so soon.
   */
  ClientSession evictionCandidate() {
    Set<ClientSession> candidates = withoutStatement;
    if (withoutStatement.size() <= maxClients / 2) {
      if (!withOneStatement.isEmpty()) {
        candidates = withOneStatement;
      } else if (!withMoreStatements.isEmpty()) {
        candidates = withMoreStatements;
      }
    }
    return candidates.isEmpty() ? null : candidates.iterator().next();
  }
}
