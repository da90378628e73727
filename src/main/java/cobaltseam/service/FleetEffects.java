package cobaltseam.service;

import cobaltseam.agreement.AgreementEffect;
import cobaltseam.coordination.FleetCoordinator;
import cobaltseam.logging.Field;
import cobaltseam.membership.Membership;
import cobaltseam.membership.MembershipAction;
import cobaltseam.membership.PeerMessage;
import cobaltseam.membership.View;
import cobaltseam.service.Counters.Count;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.stream.Collectors;

/**
 * Executes the effects that the decision modules of the fleet request: queues messages, persists
 * state, activates agreed settings, and counts and logs events. Called on the fleet's thread alone.
 */
final class FleetEffects implements FleetCoordinator.EffectSink {
  private static final System.Logger LOG = System.getLogger(FleetEffects.class.getName());

  private final Membership membership;
  private final AgreedConfiguration agreed;
  private final FleetStateFolder folder;
  private final FleetMessaging messaging;
  private final Counters counters;
  private final RateLimitedLog log;

  /**
   * @param agreed null if the fleet does not agree on settings
   */
  FleetEffects(
      Membership membership,
      AgreedConfiguration agreed,
      FleetStateFolder folder,
      FleetMessaging messaging,
      Counters counters,
      RateLimitedLog log) {
    this.membership = membership;
    this.agreed = agreed;
    this.folder = folder;
    this.messaging = messaging;
    this.counters = counters;
    this.log = log;
  }

  @Override
  public void send(InetSocketAddress to, PeerMessage message) {
    messaging.enqueue(to, message);
  }

  @Override
  public void handleMembership(MembershipAction action) {
    if (action instanceof MembershipAction.Persist persist) {
      counters.add(Count.MEMBERSHIP_KEPT);
      folder.write(persist.number(), persist.state());
    } else if (action instanceof MembershipAction.ViewInstalled installed) {
      counters.add(Count.MEMBERSHIP_VIEWS);
      logView(installed.view());
    } else if (action instanceof MembershipAction.EventRecorded recorded) {
      recordEvent(recorded);
    }
  }

  private void logView(View view) {
    LOG.log(
        Level.INFO,
        "the installed view is now {0} with {1} members: {2}",
        Field.of("view", view == null ? "none" : view.id()),
        Field.of("count", view == null ? 0 : view.members().size()),
        Field.of(
            "members",
            view == null
                ? ""
                : view.members().stream()
                    .map(member -> member.name() + "#" + member.incarnation())
                    .collect(Collectors.joining(" "))),
        Field.of("birth", membership.self().incarnation()),
        Field.event("membership.view"));
  }

  private void recordEvent(MembershipAction.EventRecorded recorded) {
    counters.add(
        switch (recorded.event()) {
          case SUSPECTED -> Count.MEMBERSHIP_SUSPECTED;
          case STOOD_STILL -> Count.MEMBERSHIP_STOOD_STILL;
          default -> Count.MEMBERSHIP_NOTED;
        });
    log.warn(
        "membership event for member {0}: {1}, {2}",
        Field.of("member", recorded.member()),
        Field.of("what", recorded.event().label()),
        Field.of("detail", recorded.detail()),
        Field.event("membership." + recorded.event().label()));
  }

  @Override
  public void handleAgreement(AgreementEffect effect) {
    if (effect instanceof AgreementEffect.Activate activate) {
      agreed.activate(activate.configuration());
    } else if (effect instanceof AgreementEffect.EventRecorded recorded) {
      agreed.recordEvent(recorded);
    }
  }
}
