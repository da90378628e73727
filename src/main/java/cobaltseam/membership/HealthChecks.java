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
 * Health checks of peers in rounds, direct ones first and then through relays (SWIM), and the
 * checks that this process relays for others.
 */
final class HealthChecks {
  private static final int MAX_RELAYED_CHECKS = 1024;

  /** The part of a health check interval after which relays are asked. */
  private static final double DIRECT_TIMEOUT_PERIODS = 0.3;

  /** The part of the direct timeout after which an unanswered check is sent again. */
  private static final double RESEND_FACTOR = 0.6;

  /** A check is judged at the end of a round if it is at least this old. */
  private static final double MIN_JUDGED_AGE_PERIODS = 0.6;

  private static final double RELAY_LIFETIME_PERIODS = 2;
  private static final int SUSPECTS_PER_ROUND = 3;

  private static final class PendingCheck {
    final Peer target;
    final Timestamp sentAt;
    final boolean isForOther;
    Timestamp resendAt;
    boolean hasAskedRelays;
    boolean isAnswered;
    int relaysAsked;
    int relaysAcknowledged;

    PendingCheck(Peer target, Timestamp sentAt, Timestamp resendAt, boolean isForOther) {
      this.target = target;
      this.sentAt = sentAt;
      this.resendAt = resendAt;
      this.isForOther = isForOther;
      hasAskedRelays = isForOther;
    }
  }

  /** A check on behalf of another member, which asked for it under {@code requestId}. */
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

  boolean hasUnanswered() {
    return pending.values().stream().anyMatch(p -> !p.isAnswered);
  }

  /** Drops all pending checks without a conclusion. */
  void clear() {
    pending.clear();
  }

  private TimeSpan directTimeout() {
    return options
        .healthCheckInterval()
        .times(DIRECT_TIMEOUT_PERIODS * local.health().timeoutMultiplier());
  }

  /** Checks one peer now. */
  void check(Peer target, Timestamp now) {
    check(target, now, false);
  }

  private long check(Peer target, Timestamp now, boolean isForOther) {
    PendingCheck check = new PendingCheck(target, now, now.plus(directTimeout()), isForOther);
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

  /** Sends checks that got no answer in time again, the first time through relays as well. */
  void retryUnanswered(Timestamp now) {
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
      check.relaysAsked++;
      output.send(
          relay,
          new HealthCheckRequest(
              local.header(), id, check.target.member(), updates.updatesFor(relay)));
    }
  }

  /** Suspects the peers that did not answer, and adjusts the health score of this process. */
  void endRound(Timestamp now) {
    int failed = 0;
    int judged = 0;
    boolean isOwnFault = false;
    TimeSpan minAge =
        options
            .healthCheckInterval()
            .times(MIN_JUDGED_AGE_PERIODS * local.health().timeoutMultiplier());
    for (Iterator<PendingCheck> checks = pending.values().iterator(); checks.hasNext(); ) {
      PendingCheck check = checks.next();
      if (!check.isAnswered && now.since(check.sentAt).compareTo(minAge) < 0) {
        // Sent in the middle of the round, with too little time for an answer so far.
        continue;
      }
      checks.remove();
      judged++;
      Timestamp heardAt = check.target.lastReceivedAt();
      if (check.isAnswered || heardAt != null && !heardAt.isBefore(check.sentAt)) {
        continue;
      }
      failed++;
      // Relays that do not even acknowledge suggest that this process is at fault.
      isOwnFault |=
          !check.isForOther
              && (check.relaysAcknowledged < check.relaysAsked || check.relaysAsked == 0);
      updates.suspect(check.target, now);
    }
    if (isOwnFault) {
      local.health().worsen();
    } else if (failed == 0 && judged > 0) {
      local.health().improve();
    }
    // The fewer peers answer, the more are checked a round: a partition is not found one by one.
    checksPerRound =
        2 * failed > judged ? Math.min(2 * checksPerRound, Math.max(1, peers.size())) : 1;
    relayed.values().removeIf(r -> r.expiresAt.isBefore(now));
  }

  /** Sends the checks of a round; rounds are counted from 1. */
  void startRound(long round, Timestamp now) {
    for (int i = 0; i < checksPerRound; i++) {
      // Every other round checks the successor in the ring of names, so that each member is
      // checked by one that does so at least every two periods.
      Peer target =
          i == 0 && round % 2 == 0 ? peers.successorOf(local.name()) : peers.nextToCheck();
      if (target != null) {
        check(target, now);
      }
    }
    peers.sample(SUSPECTS_PER_ROUND, Peer::isSuspect).forEach(p -> check(p, now));
  }

  /** Checks a target on behalf of the sender, and acknowledges the request. */
  void receiveRequest(HealthCheckRequest request, Peer from, Timestamp now) {
    Peer target = peers.get(request.target().name());
    if (target != null && relayed.size() < MAX_RELAYED_CHECKS) {
      // Also a check of its own: a target that does not answer is suspected here too, which
      // confirms the suspicion.
      long id = check(target, now, true);
      relayed.put(
          id,
          new RelayedCheck(
              from.member(),
              request.id(),
              now.plus(options.healthCheckInterval().times(RELAY_LIFETIME_PERIODS))));
    }
    // The acknowledgement tells the requester that its own connection works.
    output.send(from, new HealthCheckReply(local.header(), request.id(), false, List.of()));
  }

  /** Takes the answer of a target or the acknowledgement of a relay. */
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
      check.relaysAcknowledged++;
      return;
    }
    check.isAnswered = true;
    if (check.target == from) {
      from.setRoundTrip(now.since(check.sentAt));
    }
  }
}
