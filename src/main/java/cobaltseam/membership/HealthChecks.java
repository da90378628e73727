package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipMessage.HealthCheck;
import cobaltseam.membership.MembershipMessage.HealthCheckReply;
import cobaltseam.membership.MembershipMessage.HealthCheckRequest;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Health checks of peers in rounds: direct checks first, then indirect ones through relays (SWIM).
 * Also the checks that this process relays on behalf of others.
 */
final class HealthChecks {
  /** The maximum number of checks relayed at a time; further requests are only acknowledged. */
  private static final int MAX_RELAYED_CHECKS = 1024;

  /** The fraction of a health check interval after which relays are asked. */
  private static final double DIRECT_TIMEOUT_PERIODS = 0.3;

  /** The fraction of the direct timeout after which an unanswered check is sent again. */
  private static final double RESEND_FACTOR = 0.6;

  /** An unanswered check counts as failed at the end of a round if it is at least this old. */
  private static final double MIN_EVALUATED_AGE_PERIODS = 0.6;

  /** How long the reply to a relayed check is forwarded to the requester. */
  private static final double RELAY_LIFETIME_PERIODS = 2;

  /** The number of suspects checked in each round, in addition to the regular checks. */
  private static final int SUSPECTS_PER_ROUND = 3;

  /** A sent health check whose round has not ended. */
  private static final class PendingCheck {
    final Peer target;
    final Timestamp sentAt;
    final boolean isRelayed;
    Timestamp resendAt;
    boolean hasAskedRelays;
    boolean isAnswered;
    int relayRequestCount;
    int relayAcknowledgementCount;

    PendingCheck(Peer target, Timestamp sentAt, Timestamp resendAt, boolean isRelayed) {
      this.target = target;
      this.sentAt = sentAt;
      this.resendAt = resendAt;
      this.isRelayed = isRelayed;
      // A relay asks no further relays.
      hasAskedRelays = isRelayed;
    }
  }

  /** A check on behalf of another member, which requested it as {@code requestId}. */
  private record RelayedCheck(Member requester, long requestId, Timestamp expiresAt) {}

  private final MembershipOptions options;
  private final RandomGenerator random;
  private final LocalMember local;
  private final PeerTable peers;
  private final UpdateProcessor updates;
  private final DetectorOutput output;
  private final Map<Long, PendingCheck> pending = new LinkedHashMap<>();
  private final Map<Long, RelayedCheck> relayed = new LinkedHashMap<>();
  private int checksPerRound = 1;

  HealthChecks(
      MembershipOptions options,
      RandomGenerator random,
      LocalMember local,
      PeerTable peers,
      UpdateProcessor updates,
      DetectorOutput output) {
    this.options = options;
    this.random = random;
    this.local = local;
    this.peers = peers;
    this.updates = updates;
    this.output = output;
  }

  /** Whether a pending check has not been answered. */
  boolean hasUnanswered() {
    return pending.values().stream().anyMatch(check -> !check.isAnswered);
  }

  /** Drops all pending checks without suspecting their targets. */
  void clear() {
    pending.clear();
  }

  /** The time after which a direct check is sent again and relays are asked. */
  private TimeSpan directTimeout() {
    return options
        .healthCheckInterval()
        .times(DIRECT_TIMEOUT_PERIODS * local.health().timeoutMultiplier());
  }

  /** Sends a health check to a peer. */
  void check(Peer target, Timestamp now) {
    check(target, now, false);
  }

  /** Sends a health check and returns its identifier. */
  private long check(Peer target, Timestamp now, boolean isRelayed) {
    PendingCheck check = new PendingCheck(target, now, now.plus(directTimeout()), isRelayed);
    long id = random.nextLong();
    pending.put(id, check);
    sendCheck(id, target);
    return id;
  }

  private void sendCheck(long id, Peer target) {
    output.send(
        target,
        new HealthCheck(local.header(), id, target.member().name(), updates.updatesFor(target)));
  }

  /** Sends unanswered checks again after their timeout; the first time, also asks relays. */
  void resendUnanswered(Timestamp now) {
    TimeSpan direct = directTimeout();
    pending.forEach(
        (id, check) -> {
          if (check.isAnswered || now.isBefore(check.resendAt)) {
            return;
          }
          check.resendAt = now.plus(direct.times(RESEND_FACTOR));
          sendCheck(id, check.target);
          if (!check.hasAskedRelays) {
            check.hasAskedRelays = true;
            askRelays(id, check);
          }
        });
  }

  private void askRelays(long id, PendingCheck check) {
    for (Peer relay : peers.sample(options.relayCount(), p -> p.isAlive() && p != check.target)) {
      check.relayRequestCount++;
      output.send(
          relay,
          new HealthCheckRequest(
              local.header(), id, check.target.member(), updates.updatesFor(relay)));
    }
  }

  /**
   * Suspects the peers that did not answer, and adjusts the health score of this process and the
   * number of checks in the next round.
   */
  void endRound(Timestamp now) {
    int failedCount = 0;
    int evaluatedCount = 0;
    boolean isLocalFault = false;
    TimeSpan minAge =
        options
            .healthCheckInterval()
            .times(MIN_EVALUATED_AGE_PERIODS * local.health().timeoutMultiplier());
    for (Iterator<PendingCheck> checks = pending.values().iterator(); checks.hasNext(); ) {
      PendingCheck check = checks.next();
      if (!check.isAnswered && now.since(check.sentAt).compareTo(minAge) < 0) {
        // Sent late in the round: the target has not had enough time to answer.
        continue;
      }
      checks.remove();
      evaluatedCount++;
      Timestamp lastReceivedAt = check.target.lastReceivedAt();
      if (check.isAnswered || lastReceivedAt != null && !lastReceivedAt.isBefore(check.sentAt)) {
        continue;
      }
      failedCount++;
      // If a relay does not acknowledge the request, or there are no relays, the connection of this
      // process may be at fault.
      isLocalFault |=
          !check.isRelayed
              && (check.relayAcknowledgementCount < check.relayRequestCount
                  || check.relayRequestCount == 0);
      updates.suspect(check.target, now);
    }
    if (isLocalFault) {
      local.health().worsen();
    } else if (failedCount == 0 && evaluatedCount > 0) {
      local.health().improve();
    }
    // While most checks fail, their number doubles with each round, so that a partition is detected
    // within few rounds and not one member at a time.
    checksPerRound =
        2 * failedCount > evaluatedCount
            ? Math.min(2 * checksPerRound, Math.max(1, peers.size()))
            : 1;
    relayed.values().removeIf(check -> check.expiresAt.isBefore(now));
  }

  /**
   * Sends the checks of a round.
   *
   * @param round the number of the round, from 1
   */
  void startRound(long round, Timestamp now) {
    for (int i = 0; i < checksPerRound; i++) {
      // Every other round checks the successor in cyclic name order, so that each member has one
      // peer that checks it at least once in two rounds.
      Peer target =
          i == 0 && round % 2 == 0 ? peers.successorOf(local.name()) : peers.nextToCheck();
      if (target != null) {
        check(target, now);
      }
    }
    peers.sample(SUSPECTS_PER_ROUND, Peer::isSuspect).forEach(suspect -> check(suspect, now));
  }

  /** Checks a target on behalf of the sender, and acknowledges the request to the sender. */
  void receiveRequest(HealthCheckRequest request, Peer from, Timestamp now) {
    Peer target = peers.get(request.target().name());
    if (target != null && relayed.size() < MAX_RELAYED_CHECKS) {
      // The check also counts as one of this process: if the target does not answer, this process
      // suspects it too, which confirms the requester's suspicion.
      long id = check(target, now, true);
      relayed.put(
          id,
          new RelayedCheck(
              from.member(),
              request.id(),
              now.plus(options.healthCheckInterval().times(RELAY_LIFETIME_PERIODS))));
    }
    // The acknowledgement shows the requester that its own connection works.
    output.send(from, new HealthCheckReply(local.header(), request.id(), false, List.of()));
  }

  /** Processes the answer of a target or the acknowledgement of a relay. */
  void receiveReply(HealthCheckReply reply, Peer from, Timestamp now) {
    RelayedCheck relay = relayed.get(reply.id());
    if (relay != null && reply.reached()) {
      relayed.remove(reply.id());
      output.send(
          relay.requester.peerAddress(),
          new HealthCheckReply(
              local.header(), relay.requestId, true, List.of(from.toUpdate(local.name()))));
    }
    PendingCheck check = pending.get(reply.id());
    if (check == null) {
      return;
    }
    if (!reply.reached()) {
      check.relayAcknowledgementCount++;
      return;
    }
    check.isAnswered = true;
    if (check.target == from) {
      from.setRoundTrip(now.since(check.sentAt));
    }
  }
}
