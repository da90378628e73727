package cobaltseam.agreement;

import cobaltseam.agreement.AgreementEffect.AgreementEvent;
import cobaltseam.membership.Member;
import java.util.ArrayList;
import java.util.List;

/** The effects that the agreement asks its caller for, in order, until they are handed out. */
final class EffectQueue {
  private final List<AgreementEffect> effects = new ArrayList<>();

  void add(AgreementEffect effect) {
    effects.add(effect);
  }

  /** Asks for a message to be sent to a member. */
  void send(Member to, AgreementMessage message) {
    effects.add(new AgreementEffect.Send(to.peerAddress(), message));
  }

  /** Asks for an event to be logged. */
  void record(AgreementEvent event, String detail) {
    effects.add(new AgreementEffect.EventRecorded(event, detail));
  }

  /** All effects since the last call. */
  List<AgreementEffect> drain() {
    List<AgreementEffect> drained = List.copyOf(effects);
    effects.clear();
    return drained;
  }
}
