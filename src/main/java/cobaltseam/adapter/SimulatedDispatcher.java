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

/** One dispatcher of the simulator, from its start to its stop, with its only timer. */
final class SimulatedDispatcher {
  /** Writes one decision of the reply as a JSON object. */
  interface WireDecision {
    void write(JsonGenerator out) throws IOException;
  }

  private static final int ESTIMATE_VALID_FLAG = 1;
  private static final int PROGRESS_REPORT = 1;
  private static final int MEMORY_SHORTFALL_REPORT = 2;
  private static final int BLOCKED_REPORT = 3;
  private static final double BLOCKED_BY_LOAD = 2;

  /** The priority that the protocol requires where the policy names none. */
  private static final int DEFAULT_RANK = 1;

  /** An answer's usage is its work in milliseconds times this, plus its memory in steps. */
  private static final int USAGE_MEMORY_RANGE = 4096;

  private static final int MEMORY_STEP_MB = 4;

  private final Dispatcher dispatcher;
  private final boolean watchesEndpoints;
  private final int queuedColumn;
  private final int inFlightColumn;
  private List<WireDecision> reply;
  private long lastTimer;
  private Timestamp timerDueAt;

  SimulatedDispatcher(JsonObjectReader born, List<WireDecision> reply) {
    JsonObjectReader settings = born.object("settings");
    Deployment deployment = DeploymentReader.read(settings);
    dispatcher = new Dispatcher(deployment, born.integer("nonce64"));
    List<String> loadColumns =
        settings.has("load_report") && settings.object("load_report").has("fields")
            ? settings.object("load_report").texts("fields")
            : List.of();
    queuedColumn = loadColumns.indexOf(DeploymentReader.QUEUED_REPORT_FIELD);
    inFlightColumn = loadColumns.indexOf(DeploymentReader.IN_FLIGHT_REPORT_FIELD);
    watchesEndpoints = settings.text("discovery", "").equals("subscribe");
    this.reply = reply;
    if (watchesEndpoints) {
      watchEndpoints();
    }
  }

  /** Sets the list that the decisions of this batch are added to. */
  void setReply(List<WireDecision> decisions) {
    reply = decisions;
  }

  private void watchEndpoints() {
    addDecision("track", out -> out.writeBooleanField("enable", true));
  }

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
            loadReport(event, queuedColumn),
            loadReport(event, inFlightColumn));
    addPlacement(id, dispatcher.completeAttempt(outcome, now));
  }

  private static double loadReport(JsonObjectReader event, int column) {
    List<Double> row = event.numbers("gauge");
    return column >= 0 && column < row.size() ? row.get(column) : -1;
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

  void updateEndpoints(JsonObjectReader event, List<EndpointStatus> list, Timestamp now) {
    switch (event.text("kind")) {
      case "incr" -> dispatcher.updateEndpoints(list, false, now);
      case "total", "warm_copy" -> dispatcher.updateEndpoints(list, true, now);
      case "lost" -> {
        if (watchesEndpoints) {
          watchEndpoints();
        }
      }
      default -> throw new InvalidInputException("sync: unknown 'kind' " + event.text("kind"));
    }
  }

  void clientLeft(JsonObjectReader event, Timestamp now) {
    dispatcher.clientDisconnected(new RequestId(event.text("op_id")), now);
  }

  /** A report of an attempt in flight: of its progress, a memory shortfall or a wait. */
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

  void timerElapsed(JsonObjectReader event) {
    if (event.integer("name") == lastTimer) {
      timerDueAt = null;
    }
  }

  /** Does what the policy asks for until it names a delay, and sets the timer to that. */
  void followNextSteps(Timestamp now) {
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

  /** Sets a timer unless one is due as early; one that is replaced still elapses, to no effect. */
  private void setTimer(TimeSpan delay, Timestamp now) {
    Timestamp dueAt = now.plus(delay);
    if (timerDueAt != null && !dueAt.isBefore(timerDueAt)) {
      return;
    }
    timerDueAt = dueAt;
    long name = ++lastTimer;
    addDecision(
        "schedule",
        out -> {
          out.writeNumberField("name", name);
          out.writeNumberField("from_now_us", delay.us());
        });
  }

  /** Tells the simulator of an exception in the policy. */
  void reportFault(RuntimeException exception) {
    addDecision("exception", out -> out.writeStringField("reason_text", exception.toString()));
  }

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

  private void addAttempt(RequestId id, Placement placement) {
    if (placement.priority() >= 0 || placement.memoryGrantMb() > 0) {
      int rank = placement.priority() >= 0 ? placement.priority() : DEFAULT_RANK;
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
