package cobaltseam.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Has the persistent state written before anything that others may build on is sent, and withholds
 * such messages until then. How members seem is not persisted.
 */
final class StatePersistence {
  /** Messages withheld at most; more are lost, as any datagram may be. */
  private static final int MAX_WITHHELD = 4096;

  /** An action that waits for the state with this number. */
  private record WithheldAction(long number, MembershipAction action) {}

  private final FailureDetector detector;
  private final LocalView localView;
  private final LineageHistory lineages;
  private final Bootstrap bootstrap;
  private final ActionBuffer actions;
  private final long starts;
  private final Deque<WithheldAction> withheld = new ArrayDeque<>();
  private boolean isEnabled;
  private PersistentState latest;
  private long latestNumber;
  private long writtenNumber;
  private Function<ConfigurationVersion, byte[]> documentSource = version -> null;

  /**
   * @param starts how many processes have been this member with one folder, this one included; zero
   *     without a folder
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
    isEnabled = starts > 0;
  }

  /** Whether promises outlive this process. */
  boolean isEnabled() {
    return isEnabled;
  }

  /** Sets where to get the document of a version from; null from it if the document is not here. */
  void setDocumentSource(Function<ConfigurationVersion, byte[]> source) {
    documentSource = source;
  }

  /** Adds a write if the state has changed, and withholds the actions that depend on a write. */
  void update() {
    if (!isEnabled) {
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

  /** Withholds an action if it depends on the state; a message beyond the bound is dropped. */
  private boolean withhold(MembershipAction action) {
    boolean isInstall = action instanceof MembershipAction.ViewInstalled;
    boolean isDependent =
        isInstall
            || action instanceof MembershipAction.Send send
                && send.message().requiresPersistedState();
    if (isDependent && (isInstall || withheld.size() < MAX_WITHHELD)) {
      withheld.add(new WithheldAction(latestNumber, action));
    }
    return isDependent;
  }

  /** The state with this number is written; returns the actions that waited for it. */
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

  /** Whether it installs a view for the process that this one was before. */
  private boolean isOfFormerIncarnation(MembershipAction action) {
    return action instanceof MembershipAction.ViewInstalled installed
        && installed.view() != null
        && !localView.containsSelf(installed.view());
  }

  /** Goes on without a folder; the withheld actions are dropped, so nobody relies on them. */
  void disable() {
    isEnabled = false;
    withheld.clear();
  }
}
