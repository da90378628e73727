package cobaltseam.agreement;

import cobaltseam.agreement.AgreementEffect.AgreementEvent;
import cobaltseam.membership.Member;
import java.util.ArrayList;
import java.util.List;

/** Collects the effects of the agreement, in order, until the caller takes them. */
final class EffectQueue {
  private final List<AgreementEffect> effects = new ArrayList<>();

  void add(AgreementEffect effect) {
    effects.add(effect);
  }

  /** Adds the effect of sending a message to a member. */
  void send(Member to, AgreementMessage message) {
    effects.add(new AgreementEffect.Send(to.peerAddress(), message));
  }

  /** Adds the effect of logging an event. */
  void record(AgreementEvent event, String detail) {
    effects.add(new AgreementEffect.EventRecorded(event, detail));
  }

  /** Removes and returns all effects since the last call. */
  List<AgreementEffect> drain() {
    List<AgreementEffect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }
}
