package cobaltseam.service;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Clients without an open statement, ordered by how long they have been idle; selects the one to
 * evict.
 */
final class IdleClients {
  private final int maxClients;
  private final Set<ClientSession> withoutStatement = new LinkedHashSet<>();
  private final Set<ClientSession> withOneStatement = new LinkedHashSet<>();
  private final Set<ClientSession> withMoreStatements = new LinkedHashSet<>();

  /**
   * @param maxClients the maximum number of connected clients
   */
  IdleClients(int maxClients) {
    this.maxClients = maxClients;
  }

  /** Removes a client, and if it is idle, adds it again as the last of its group to be evicted. */
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
   * Returns the client to evict, or null if none is idle. Clients that never sent a statement are
   * evicted first while they hold more than half of the connections. Otherwise clients with one
   * statement are evicted before those with more, since a client that reuses its connection does so
   * soon; clients without a statement come last. A client that is sending a message is evicted only
   * if there is no other.
   *
   * @param isSending whether a client is sending a message
   */
  ClientSession evictionCandidate(Predicate<ClientSession> isSending) {
    List<Set<ClientSession>> groups =
        withoutStatement.size() > maxClients / 2
            ? List.of(withoutStatement)
            : List.of(withOneStatement, withMoreStatements, withoutStatement);
    return groups.stream()
        .flatMap(Set::stream)
        .filter(isSending.negate())
        .findFirst()
        .or(() -> groups.stream().flatMap(Set::stream).findFirst())
        .orElse(null);
  }
}
