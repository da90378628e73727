package cobaltseam.membership;

import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.membership.MembershipMessage.Decided;
import cobaltseam.membership.MembershipMessage.MessageHeader;
import cobaltseam.membership.MembershipMessage.ViewPart;
import cobaltseam.membership.MembershipMessage.ViewRequest;
import java.util.ArrayList;
import java.util.List;

/** Fetches a later view from a peer that reports one, and serves views, in parts. */
final class ViewTransfer implements ViewListener {
  private static final int MAX_MEMBERS_PER_PART = 48;

  /** The largest view. */
  static final int MAX_VIEW_MEMBERS = 4096;

  private static final double RETRY_PERIODS = 0.125;
  private static final double RETRY_WITHOUT_VIEW_PERIODS = 1;

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

  /** The last peer that reported a later view, until one is installed. */
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

  /** Whether a later view is known of and not installed yet. */
  boolean isPending() {
    return source != null;
  }

  /** Asks the sender of a message for its view if that is later than the one held here. */
  void requestIfBehind(MessageHeader sender, Timestamp now) {
    View view = localView.view();
    boolean isLater =
        view == null ? lineages.canJoin(sender.view()) : sender.view().isAfter(view.id());
    if (!isLater) {
      return;
    }
    source = sender;
    if (requestedAt == null
        || isOlderThan(view == null ? RETRY_WITHOUT_VIEW_PERIODS : RETRY_PERIODS, now)) {
      request(now);
    }
  }

  /** Asks again if the answer is overdue. */
  void retry(Timestamp now) {
    if (isPending() && isOlderThan(RETRY_PERIODS, now)) {
      request(now);
    }
  }

  private boolean isOlderThan(double periods, Timestamp now) {
    TimeSpan limit = options.healthCheckInterval().times(periods);
    return now.since(requestedAt).compareTo(limit) >= 0;
  }

  private void request(Timestamp now) {
    requestedAt = now;
    actions.send(source.member(), new ViewRequest(detector.header(), source.view(), 0));
  }

  /** Asks for the view that a decision led to, in which this process is new. */
  void requestDecided(Decided decided) {
    actions.send(
        decided.from().member(), new ViewRequest(detector.header(), decided.viewId().next(), 0));
  }

  /** Sends the requested part of the view held here, or its first part if it is another view. */
  void receiveRequest(ViewRequest request) {
    if (localView.hasView()) {
      boolean isSame = request.viewId().equals(localView.view().id());
      sendPart(request.from().member(), isSame ? request.index() : 0);
    }
  }

  /** Sends the part of the held view that begins at an index. */
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

  /** Adds a part to the incoming view, and installs the view once it is complete. */
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
    localView.follow(view, now);
  }
}
