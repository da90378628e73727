package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipMessage.Decided;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.MembershipMessage.ViewPart;
import cobaltseam.membership.MembershipMessage.ViewRequest;
import java.util.ArrayList;
import java.util.List;

/** Requests a later view from a peer that reports one, and sends the installed view, in parts. */
final class ViewTransfer implements ViewListener {
  private static final int MAX_MEMBERS_PER_PART = 48;

  /** The most members that a view can have. */
  static final int MAX_VIEW_MEMBERS = 4096;

  /** Health check periods after which a request for a view is repeated. */
  private static final double RETRY_PERIODS = 0.125;

  /** The same for a process without a view. */
  private static final double RETRY_WITHOUT_VIEW_PERIODS = 1;

  /** A view of which some parts have been received, in order. */
  private static final class IncomingView {
    final ViewId id;
    final int size;
    final ConfigurationVersion configuration;
    final List<Member> members = new ArrayList<>();

    IncomingView(ViewPart part) {
      id = part.viewId();
      size = part.size();
      configuration = part.configuration();
    }
  }

  private final MembershipOptions options;
  private final FailureDetector detector;
  private final LocalView localView;
  private final LineageHistory lineages;
  private final ActionBuffer actions;
  private IncomingView incoming;

  /** The last peer that reported a later view; null if none has since the last change of view. */
  private MessageHeader source;

  private Timestamp requestedAt;

  ViewTransfer(
      MembershipOptions options,
      FailureDetector detector,
      LocalView localView,
      LineageHistory lineages,
      ActionBuffer actions) {
    this.options = options;
    this.detector = detector;
    this.localView = localView;
    this.lineages = lineages;
    this.actions = actions;
  }

  @Override
  public void onViewChanged(View before, View view, Timestamp now) {
    incoming = null;
    source = null;
  }

  /** Whether a peer has reported a later view that is not installed yet. */
  boolean isPending() {
    return source != null;
  }

  /** Requests the view of a message's sender if it is later than the installed one. */
  void requestIfBehind(MessageHeader sender, Timestamp now) {
    View view = localView.view();
    boolean isLater =
        view == null ? lineages.canJoin(sender.view()) : sender.view().isAfter(view.id());
    if (!isLater) {
      return;
    }
    source = sender;
    if (requestedAt == null
        || hasPassedSinceRequest(view == null ? RETRY_WITHOUT_VIEW_PERIODS : RETRY_PERIODS, now)) {
      request(now);
    }
  }

  /** Repeats the request for a later view if the reply is overdue. */
  void retry(Timestamp now) {
    if (isPending() && hasPassedSinceRequest(RETRY_PERIODS, now)) {
      request(now);
    }
  }

  private boolean hasPassedSinceRequest(double periods, Timestamp now) {
    TimeSpan limit = options.healthCheckInterval().times(periods);
    return now.since(requestedAt).compareTo(limit) >= 0;
  }

  private void request(Timestamp now) {
    requestedAt = now;
    actions.send(source.member(), new ViewRequest(detector.header(), source.view(), 0));
  }

  /** Requests the view that follows from a decision that adds this process. */
  void requestDecided(Decided decided) {
    actions.send(
        decided.from().member(), new ViewRequest(detector.header(), decided.viewId().next(), 0));
  }

  /**
   * Sends the requested part of the installed view, or its first part if the request is for another
   * view.
   */
  void receiveRequest(ViewRequest request) {
    if (localView.hasView()) {
      boolean isInstalledView = request.viewId().equals(localView.view().id());
      sendPart(request.from().member(), isInstalledView ? request.index() : 0);
    }
  }

  /**
   * Sends a part of the installed view.
   *
   * @param index the index of the first member to send
   */
  void sendPart(Member to, int index) {
    View view = localView.view();
    int size = view.members().size();
    int from = Math.max(0, Math.min(index, size));
    int until = Math.min(size, from + MAX_MEMBERS_PER_PART);
    actions.send(
        to,
        new ViewPart(
            detector.header(),
            view.id(),
            from,
            size,
            view.members().subList(from, until),
            view.configuration()));
  }

  /** Adds a part to the incoming view, and installs the view once all parts are received. */
  void receivePart(ViewPart part, Timestamp now) {
    boolean isWanted =
        localView.hasView()
            ? part.viewId().isAfter(localView.view().id())
            : lineages.canJoin(part.viewId());
    if (!isWanted || part.size() > MAX_VIEW_MEMBERS || part.members().isEmpty()) {
      return;
    }
    if (incoming == null || !incoming.id.equals(part.viewId()) || part.index() == 0) {
      incoming = new IncomingView(part);
    }
    if (incoming.members.size() != part.index()) {
      return;
    }
    incoming.members.addAll(part.members());
    if (incoming.members.size() < incoming.size) {
      actions.send(
          part.from().member(),
          new ViewRequest(detector.header(), incoming.id, incoming.members.size()));
      return;
    }
    View view = View.of(incoming.id, incoming.members, incoming.configuration);
    incoming = null;
    localView.installOrLeave(view, now);
  }
}
