package cobaltseam.adapter;

import cobaltseam.deployment.DeploymentReader;
import cobaltseam.deployment.InvalidInputException;
import cobaltseam.deployment.JsonObjectReader;
import cobaltseam.dispatch.AttemptOutcome;
import cobaltseam.dispatch.AttemptOutcome.AttemptResult;
import cobaltseam.dispatch.DataSetId;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.Dispatcher;
import cobaltseam.dispatch.EndpointStatus;
import cobaltseam.dispatch.EngineId;
import cobaltseam.dispatch.NextStep;
import cobaltseam.dispatch.Placement;
import cobaltseam.dispatch.Request;
import cobaltseam.dispatch.RequestClassId;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.SequenceKey;
import cobaltseam.dispatch.TenantId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;

/**
 * One dispatcher of the simulator, from its start to its stop. Translates the simulator's events
 * into calls of a {@link Dispatcher}, and the results of these calls into decisions. At most one
 * timer is in use at any time.
 */
final class SimulatedDispatcher {
  /** Writes one decision of a reply, or the fields of one, as JSON. */
  interface WireDecision {
    void write(JsonGenerator out) throws IOException;
  }

  /** The bit of a request's attributes that says that it has an estimate of its work. */
  private static final int ESTIMATE_VALID_FLAG = 1;

  // The kinds of reports of an attempt in flight.
  private static final int PROGRESS_REPORT = 1;
  private static final int MEMORY_SHORTFALL_REPORT = 2;
  private static final int BLOCKED_REPORT = 3;

  /** The cause in a report of a blocked attempt: it waits for the load of its data set. */
  private static final double BLOCKED_BY_LOAD = 2;

  /** The engine priority to send if the policy sets none, since the protocol requires one. */
  private static final int DEFAULT_PRIORITY = 1;

  /**
   * The usage that an engine reports is one number: the work in milliseconds times this factor,
   * plus the memory in steps of {@link #MEMORY_STEP_MB}.
   */
  private static final int USAGE_MEMORY_RANGE = 4096;

  private static final int MEMORY_STEP_MB = 4;

  private final Dispatcher dispatcher;
  private final boolean watchesEndpoints;

  /** The column for queued requests in the engines' load reports; -1 if there is none. */
  private final int queuedColumn;

  /** The column for requests in flight in the engines' load reports; -1 if there is none. */
  private final int inFlightColumn;

  private List<WireDecision> reply;

  /** The name of the timer that was set last; names count up from 1. */
  private long lastTimer;

  /** When the timer in use elapses; null if there is none. */
  private Timestamp timerDueAt;

  /**
   * Starts a dispatcher.
   *
   * @param startEvent the event with its settings and its random seed
   * @param reply the list that the decisions of the current batch are added to
   * @throws InvalidInputException if the settings are invalid
   */
  SimulatedDispatcher(JsonObjectReader startEvent, List<WireDecision> reply) {
    JsonObjectReader settings = startEvent.object("settings");
    Deployment deployment = DeploymentReader.read(settings);
    dispatcher = new Dispatcher(deployment, startEvent.integer("nonce64"));
    List<String> loadColumns =
        settings.has("load_report") && settings.object("load_report").has("fields")
            ? settings.object("load_report").texts("fields")
            : List.of();
    queuedColumn = loadColumns.indexOf(DeploymentReader.QUEUED_REPORT_FIELD);
    inFlightColumn = loadColumns.indexOf(DeploymentReader.IN_FLIGHT_REPORT_FIELD);
    watchesEndpoints = settings.text("discovery", "").equals("subscribe");
    this.reply = reply;
    if (watchesEndpoints) {
      requestEndpointWatch();
    }
  }

  /** Sets the list that the decisions of the current batch are added to. */
  void setReply(List<WireDecision> decisions) {
    reply = decisions;
  }

  /** Asks the simulator to send changes of the endpoint list. */
  private void requestEndpointWatch() {
    addDecision("track", out -> out.writeBooleanField("enable", true));
  }

  /** Places a new request. */
  void acceptRequest(JsonObjectReader event, Timestamp now) {
    boolean hasEstimate = (event.integer("attrs", 0) & ESTIMATE_VALID_FLAG) != 0;
    String tenant = event.text("project", null);
    Request request =
        new Request(
            new RequestId(event.text("op_id")),
            new RequestClassId(event.text("kind")),
            tenant == null || tenant.equals("0") ? null : new TenantId(tenant),
            event.has("order_key") ? new SequenceKey(event.text("order_key")) : null,
            new Timestamp(event.integer("due_us")),
            new TimeSpan(hasEstimate ? event.integer("guess_us", 0) : 0),
            event.has("table_group") ? new DataSetId((long) event.number("table_group")) : null,
            event.number("mem_mb", 0));
    addPlacement(request.id(), dispatcher.place(request, now));
  }

  /** Records the outcome of an attempt, and applies the decision that follows from it. */
  void completeAttempt(JsonObjectReader event, Timestamp now) {
    long usage = event.integer("note", 0);
    AttemptResult result = attemptResult(event.text("verdict"));
    boolean hasUsage = result == AttemptResult.COMPLETED && usage > 0;
    RequestId id = new RequestId(event.text("op_id"));
    AttemptOutcome outcome =
        new AttemptOutcome(
            id,
            (int) event.integer("copy"),
            new EngineId(event.integer("node")),
            result,
            new TimeSpan(event.integer("duration_us", 0)),
            event.flag("settled"),
            new TimeSpan(hasUsage ? usage / USAGE_MEMORY_RANGE * 1000 : -1),
            hasUsage ? usage % USAGE_MEMORY_RANGE * MEMORY_STEP_MB : -1,
            loadReportValue(event, queuedColumn),
            loadReportValue(event, inFlightColumn));
    addPlacement(id, dispatcher.completeAttempt(outcome, now));
  }

  /** Returns a value of the engine's load report in the event; -1 if there is none. */
  private static double loadReportValue(JsonObjectReader event, int column) {
    List<Double> values = event.numbers("gauge");
    return column >= 0 && column < values.size() ? values.get(column) : -1;
  }

  private static AttemptResult attemptResult(String verdict) {
    return switch (verdict) {
      case "pass" -> AttemptResult.COMPLETED;
      case "fault" -> AttemptResult.ERROR;
      case "no_room" -> AttemptResult.CAPACITY_EXCEEDED;
      case "too_slow" -> AttemptResult.TIMED_OUT;
      case "no_route" -> AttemptResult.UNREACHABLE;
      case "cut" -> AttemptResult.CONNECTION_LOST;
      case "undone" -> AttemptResult.CANCELLED;
      case "stale_send" -> AttemptResult.NEVER_SENT;
      default -> throw new InvalidInputException("verdict: unknown 'verdict' " + verdict);
    };
  }

  /**
   * Applies a message of the endpoint watch: a change of the endpoint list, a complete list, or the
   * loss of the watch, after which the dispatcher asks for a new one.
   */
  void updateEndpoints(JsonObjectReader event, List<EndpointStatus> list, Timestamp now) {
    switch (event.text("kind")) {
      case "incr" -> dispatcher.updateEndpoints(list, false, now);
      case "total", "warm_copy" -> dispatcher.updateEndpoints(list, true, now);
      case "lost" -> {
        if (watchesEndpoints) {
          requestEndpointWatch();
        }
      }
      default -> throw new InvalidInputException("sync: unknown 'kind' " + event.text("kind"));
    }
  }

  /** Records that the client of a request has disconnected. */
  void clientDisconnected(JsonObjectReader event, Timestamp now) {
    dispatcher.clientDisconnected(new RequestId(event.text("op_id")), now);
  }

  /**
   * Records a report of an attempt in flight: its progress, a memory shortfall or that it is
   * blocked. Reports of other kinds, and of other causes of a block, are ignored.
   */
  void updateAttempt(JsonObjectReader event, Timestamp now) {
    RequestId id = new RequestId(event.text("op_id"));
    int attempt = (int) event.integer("copy", 0);
    double amount = event.number("amount", 0);
    switch ((int) event.integer("what")) {
      case PROGRESS_REPORT -> dispatcher.updateProgress(id, attempt, amount, now);
      case MEMORY_SHORTFALL_REPORT -> dispatcher.updateMemoryShortfall(id, attempt, amount);
      case BLOCKED_REPORT -> {
        if (amount == BLOCKED_BY_LOAD) {
          dispatcher.markBlocked(id, attempt, now);
        }
      }
      default -> {}
    }
  }

  /** Records that a timer has elapsed, unless it has been replaced. */
  void timerElapsed(JsonObjectReader event) {
    if (event.integer("name") == lastTimer) {
      timerDueAt = null;
    }
  }

  /**
   * Executes the policy's next steps until it returns a delay, and sets the timer to this delay.
   * Sets no timer if nothing is pending.
   */
  void executeNextSteps(Timestamp now) {
    NextStep step = dispatcher.next(now);
    while (step.delay() != null && !step.delay().isPositive()) {
      if (step.cancelAttempt() >= 0) {
        addCancellation(step.request().id(), step.cancelAttempt());
      } else if (step.request() != null) {
        addPlacement(step.request().id(), dispatcher.place(step.request(), now));
      } else if (step.healthCheck() != null) {
        long engine = step.healthCheck().value();
        addDecision("ping", out -> out.writeNumberField("node", engine));
      }
      step = dispatcher.next(now);
    }
    if (step.delay() != null) {
      setTimer(step.delay(), now);
    }
  }

  private void addCancellation(RequestId id, int attempt) {
    addDecision(
        "recall",
        out -> {
          out.writeStringField("op_id", id.value());
          out.writeNumberField("copy", attempt);
        });
  }

  /**
   * Sets a timer, unless the one in use elapses at the same time or earlier. A timer that is
   * replaced still elapses, but {@link #timerElapsed} ignores it.
   */
  private void setTimer(TimeSpan delay, Timestamp now) {
    Timestamp dueAt = now.plus(delay);
    if (timerDueAt != null && !dueAt.isBefore(timerDueAt)) {
      return;
    }
    timerDueAt = dueAt;
    long timer = ++lastTimer;
    addDecision(
        "schedule",
        out -> {
          out.writeNumberField("name", timer);
          out.writeNumberField("from_now_us", delay.us());
        });
  }

  /** Reports an exception in the policy to the simulator. */
  void reportException(RuntimeException exception) {
    addDecision("exception", out -> out.writeStringField("reason_text", exception.toString()));
  }

  /** Adds the decisions for a placement; none if the request stays queued. */
  private void addPlacement(RequestId id, Placement placement) {
    switch (placement.decision()) {
      case SEND -> addAttempt(id, placement);
      case SHED ->
          addDecision(
              "bounce",
              out -> {
                out.writeStringField("op_id", id.value());
                if (placement.retryAfter().isPositive()) {
                  out.writeNumberField("come_back_us", placement.retryAfter().us());
                }
              });
      case FAIL -> addDecision("error", out -> out.writeStringField("op_id", id.value()));
      default -> {}
    }
  }

  /** Adds an attempt, preceded by its engine priority and memory grant if it has either. */
  private void addAttempt(RequestId id, Placement placement) {
    if (placement.priority() >= 0 || placement.memoryGrantMb() > 0) {
      int rank = placement.priority() >= 0 ? placement.priority() : DEFAULT_PRIORITY;
      addDecision(
          "provide",
          out -> {
            out.writeStringField("op_id", id.value());
            out.writeNumberField("grant_mb", Math.round(placement.memoryGrantMb()));
            out.writeNumberField("rank", rank);
          });
    }
    addDecision(
        "try",
        out -> {
          out.writeStringField("op_id", id.value());
          out.writeNumberField("node", placement.engine().value());
          out.writeNumberField("max_wait_us", placement.attemptTimeout().us());
        });
  }

  /** Adds a decision: a JSON object whose only field is its name, with an object of fields. */
  private void addDecision(String name, WireDecision fields) {
    reply.add(
        out -> {
          out.writeStartObject();
          out.writeObjectFieldStart(name);
          fields.write(out);
          out.writeEndObject();
          out.writeEndObject();
        });
  }
}
