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

/** One life of one dispatcher on the wire: its module, its one timer, and what it has to write. */
final class SimulatedDispatcher {
  /** One message of the reply. */
  interface Message {
    void write(JsonGenerator out) throws IOException;
  }

  private static final int HINT_VALID = 1;
  private static final int SHARE_DONE = 1;
  private static final int SPILLS = 2;
  private static final int WAITS = 3;
  private static final double FOR_A_LOAD = 2;

  /** The wire's rank where none is named. */
  private static final int UNHEEDED_RANK = 1;

  private static final int NOTE_MEMORY_STEPS = 4096;
  private static final int NOTE_MEMORY_MB = 4;

  private final Dispatcher dispatcher;
  private final boolean subscribes;
  private final int queueAt;
  private final int inHandAt;
  private List<Message> reply;
  private long timers;
  private Timestamp wake;

  SimulatedDispatcher(JsonObjectReader born, List<Message> reply) {
    JsonObjectReader told = born.object("settings");
    Deployment deployment = DeploymentReader.read(told);
    dispatcher = new Dispatcher(deployment, born.whole("nonce64"));
    List<String> reported =
        told.has("load_report") && told.object("load_report").has("fields")
            ? told.object("load_report").texts("fields")
            : List.of();
    queueAt = reported.indexOf(DeploymentReader.QUEUE_REPORT);
    inHandAt = reported.indexOf(DeploymentReader.IN_HAND_REPORT);
    subscribes = told.text("discovery", "").equals("subscribe");
    this.reply = reply;
    if (subscribes) {
      subscribe();
    }
  }

  /** Where this batch's messages go. */
  void answerInto(List<Message> messages) {
    reply = messages;
  }

  private void subscribe() {
    add("track", out -> out.writeBooleanField("enable", true));
  }

  void accepted(JsonObjectReader f, Timestamp now) {
    boolean hint = (f.whole("attrs", 0) & HINT_VALID) != 0;
    String share = f.text("project", null);
    Request command =
        new Request(
            new RequestId(f.text("op_id")),
            new RequestClassId(f.text("kind")),
            share == null || share.equals("0") ? null : new TenantId(share),
            f.has("order_key") ? new SequenceKey(f.text("order_key")) : null,
            new Timestamp(f.whole("due_us")),
            new TimeSpan(hint ? f.whole("guess_us", 0) : 0),
            f.has("table_group") ? new DataSetId((long) f.number("table_group")) : null,
            f.number("mem_mb", 0));
    write(command.id(), dispatcher.place(command, now));
  }

  void ended(JsonObjectReader f, Timestamp now) {
    long note = f.whole("note", 0);
    AttemptResult ending = ending(f.text("verdict"));
    boolean told = ending == AttemptResult.COMPLETED && note > 0;
    RequestId id = new RequestId(f.text("op_id"));
    AttemptOutcome outcome =
        new AttemptOutcome(
            id,
            (int) f.whole("copy"),
            new EngineId(f.whole("node")),
            ending,
            new TimeSpan(f.whole("duration_us", 0)),
            f.flag("settled"),
            new TimeSpan(told ? note / NOTE_MEMORY_STEPS * 1000 : -1),
            told ? note % NOTE_MEMORY_STEPS * NOTE_MEMORY_MB : -1,
            reported(f, queueAt),
            reported(f, inHandAt));
    write(id, dispatcher.completeAttempt(outcome, now));
  }

  private static double reported(JsonObjectReader f, int at) {
    List<Double> row = f.numbers("gauge");
    return at >= 0 && at < row.size() ? row.get(at) : -1;
  }

  private static AttemptResult ending(String verdict) {
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

  void listed(JsonObjectReader f, List<EndpointStatus> list, Timestamp now) {
    switch (f.text("kind")) {
      case "incr" -> dispatcher.updateEndpoints(list, false, now);
      case "total", "warm_copy" -> dispatcher.updateEndpoints(list, true, now);
      case "lost" -> {
        if (subscribes) {
          subscribe();
        }
      }
      default -> throw new InvalidInputException("sync: unknown 'kind' " + f.text("kind"));
    }
  }

  void departed(JsonObjectReader f, Timestamp now) {
    dispatcher.clientLeft(new RequestId(f.text("op_id")), now);
  }

  /** A note of a send that is out. */
  void noted(JsonObjectReader f, Timestamp now) {
    RequestId id = new RequestId(f.text("op_id"));
    int send = (int) f.whole("copy", 0);
    double amount = f.number("amount", 0);
    switch ((int) f.whole("what")) {
      case SHARE_DONE -> dispatcher.updateProgress(id, send, amount, now);
      case SPILLS -> dispatcher.updateMemoryShortfall(id, send, amount);
      case WAITS -> {
        if (amount == FOR_A_LOAD) {
          dispatcher.markBlocked(id, send, now);
        }
      }
      default -> {}
    }
  }

  void elapsed(JsonObjectReader f) {
    if (f.whole("name") == timers) {
      wake = null;
    }
  }

  /** Follows the module until it names a span to wait, and sets the timer to it. */
  void follow(Timestamp now) {
    NextStep pause = dispatcher.next(now);
    while (pause.delay() != null && !pause.delay().isPositive()) {
      if (pause.cancelAttempt() >= 0) {
        String id = pause.request().id().value();
        int send = pause.cancelAttempt();
        add(
            "recall",
            out -> {
              out.writeStringField("op_id", id);
              out.writeNumberField("copy", send);
            });
      } else if (pause.request() != null) {
        write(pause.request().id(), dispatcher.place(pause.request(), now));
      } else if (pause.healthCheck() != null) {
        long engine = pause.healthCheck().value();
        add("ping", out -> out.writeNumberField("node", engine));
      }
      pause = dispatcher.next(now);
    }
    if (pause.delay() != null && (wake == null || now.plus(pause.delay()).isBefore(wake))) {
      wake = now.plus(pause.delay());
      long name = ++timers;
      long us = pause.delay().us();
      add(
          "schedule",
          out -> {
            out.writeNumberField("name", name);
            out.writeNumberField("from_now_us", us);
          });
    }
  }

  void fault(RuntimeException e) {
    add("exception", out -> out.writeStringField("reason_text", e.toString()));
  }

  private void write(RequestId id, Placement p) {
    switch (p.decision()) {
      case SEND -> {
        if (p.priority() >= 0 || p.memoryGrantMb() > 0) {
          add(
              "provide",
              out -> {
                out.writeStringField("op_id", id.value());
                out.writeNumberField("grant_mb", Math.round(p.memoryGrantMb()));
                out.writeNumberField("rank", p.priority() >= 0 ? p.priority() : UNHEEDED_RANK);
              });
        }
        add(
            "try",
            out -> {
              out.writeStringField("op_id", id.value());
              out.writeNumberField("node", p.engine().value());
              out.writeNumberField("max_wait_us", p.attemptTimeout().us());
            });
      }
      case SHED ->
          add(
              "bounce",
              out -> {
                out.writeStringField("op_id", id.value());
                if (p.retryAfter().isPositive()) {
                  out.writeNumberField("come_back_us", p.retryAfter().us());
                }
              });
      case FAIL -> add("error", out -> out.writeStringField("op_id", id.value()));
      default -> {}
    }
  }

  private void add(String name, Message fields) {
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
