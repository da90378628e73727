package cobaltseam.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Requests that changed state is written to the state folder, and withholds the messages and view
 * installations that depend on the state until it has been written. The conditions of members are
 * not persisted.
 *
 * <p>During an outage of the folder nothing is withheld and no new state is written: if a state
 * were written then, messages that depend on a later one might have been sent. The caller goes on
 * with the last write; once that succeeds, the outage is over, and the state as it is then is
 * written first.
 */
final class StatePersistence {
  /** The maximum number of withheld messages; further ones are dropped, as any datagram may be. */
  private static final int MAX_WITHHELD = 4096;

  /** An action that is withheld until the state with this number has been written. */
  private record WithheldAction(long number, MembershipAction action) {}

  private final FailureDetector detector;
  private final LocalView localView;
  private final LineageHistory lineages;
  private final Bootstrap bootstrap;
  private final ActionBuffer actions;
  private final long starts;
  private final Deque<WithheldAction> withheld = new ArrayDeque<>();
  private final boolean hasFolder;
  private boolean isInOutage;
  private PersistentState latest;
  private long latestNumber;
  private long writtenNumber;
  private Function<ConfigurationVersion, byte[]> documentSource = version -> null;

  /**
   * @param starts the number of starts of this member with the same state folder, including the
   *     current one; zero without a state folder
   */
  StatePersistence(
      FailureDetector detector,
      LocalView localView,
      LineageHistory lineages,
      Bootstrap bootstrap,
      ActionBuffer actions,
      long starts) {
    this.detector = detector;
    this.localView = localView;
    this.lineages = lineages;
    this.bootstrap = bootstrap;
    this.actions = actions;
    this.starts = starts;
    hasFolder = starts > 0;
  }

  /** Whether the state is persisted, so that promises remain valid after this process ends. */
  boolean isEnabled() {
    return hasFolder && !isInOutage;
  }

  /**
   * Sets the source of configuration documents.
   *
   * @param source returns the document of a version, or null if this process does not have it
   */
  void setDocumentSource(Function<ConfigurationVersion, byte[]> source) {
    documentSource = source;
  }

  /**
   * Adds a write as the first action if the state has changed, and withholds the actions that
   * depend on state that is not written yet.
   */
  void update() {
    if (!isEnabled()) {
      return;
    }
    boolean isChanged = !isCurrent(latest);
    if (isChanged) {
      latest = capture();
      latestNumber++;
    }
    if (latestNumber > writtenNumber) {
      actions.removeIf(this::withhold);
    }
    if (isChanged) {
      actions.addFirst(new MembershipAction.Persist(latestNumber, latest));
    }
  }

  private boolean isCurrent(PersistentState state) {
    ViewState viewState = localView.state();
    return state != null
        && state.view() == viewState.view()
        && state.promised() == viewState.promised()
        && state.accepted() == viewState.accepted()
        && state.acceptedDelta() == viewState.value()
        && state.self() == detector.self()
        && state.consentedTo() == bootstrap.consentedTo()
        && state.consentedAttempt() == bootstrap.consentedAttempt()
        && state.leftLineages().equals(lineages.leftLineages())
        && state.endedLineages().equals(lineages.endedLineages());
  }

  private PersistentState capture() {
    ViewState state = localView.state();
    ConfigurationVersion installed = state.view() == null ? null : state.view().configuration();
    List<byte[]> documents =
        Stream.of(localView.acceptedConfiguration(), installed)
            .filter(Objects::nonNull)
            .map(documentSource)
            .filter(Objects::nonNull)
            .distinct()
            .toList();
    return new PersistentState(
        detector.self(),
        starts,
        state.view(),
        state.promised(),
        state.accepted(),
        state.value(),
        bootstrap.consentedTo(),
        bootstrap.consentedAttempt(),
        lineages.leftLineages(),
        lineages.endedLineages(),
        documents);
  }

  /**
   * Withholds an action if it depends on the state; drops a message beyond {@link #MAX_WITHHELD}.
   *
   * @return whether the action depends on the state
   */
  private boolean withhold(MembershipAction action) {
    boolean isInstallation = action instanceof MembershipAction.ViewInstalled;
    boolean isDependent =
        isInstallation
            || action instanceof MembershipAction.Send send
                && send.message().requiresPersistedState();
    if (isDependent && (isInstallation || withheld.size() < MAX_WITHHELD)) {
      withheld.add(new WithheldAction(latestNumber, action));
    }
    return isDependent;
  }

  /**
   * Records that the state with this number, and all earlier ones, have been written.
   *
   * @return the actions that were withheld for them
   */
  List<MembershipAction> onWritten(long number) {
    writtenNumber = Math.max(writtenNumber, number);
    List<MembershipAction> released = new ArrayList<>();
    while (!withheld.isEmpty() && withheld.peek().number <= writtenNumber) {
      MembershipAction action = withheld.poll().action;
      if (!isOfFormerIncarnation(action)) {
        released.add(action);
      }
    }
    return released;
  }

  /** Whether the action installs a view without the current incarnation of this process. */
  private boolean isOfFormerIncarnation(MembershipAction action) {
    return action instanceof MembershipAction.ViewInstalled installed
        && installed.view() != null
        && !localView.containsSelf(installed.view());
  }

  /**
   * Continues without the state folder until {@link #endOutage}. The withheld actions are dropped,
   * so that no member relies on state that was not written.
   */
  void beginOutage() {
    isInOutage = true;
    withheld.clear();
  }

  /**
   * Uses the state folder again, since it can be written.
   *
   * @return whether there was an outage
   */
  boolean endOutage() {
    boolean hasEnded = isInOutage;
    isInOutage = false;
    return hasEnded;
  }
}
