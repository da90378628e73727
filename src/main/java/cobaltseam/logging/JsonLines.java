package cobaltseam.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.Set;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Formats each log record as one line with a JSON object: at, level, logger, event, message, the
 * record's fields, and error with the stack trace if the record has an exception.
 */
public final class JsonLines extends Formatter {
  private static final JsonFactory JSON = new JsonFactory();
  private static final String DEFAULT_EVENT = "log";

  /** Sets this format on all handlers of the root logger. */
  public static void install() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.setFormatter(new JsonLines());
    }
  }

  @Override
  public String format(LogRecord record) {
    StringWriter text = new StringWriter();
    Object[] parameters = record.getParameters() == null ? new Object[0] : record.getParameters();
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      json.writeStringField("at", record.getInstant().toString());
      json.writeStringField("level", record.getLevel().getName());
      json.writeStringField("logger", record.getLoggerName());
      String event = DEFAULT_EVENT;
      for (Object parameter : parameters) {
        if (parameter instanceof Field field && field.name().equals(Field.EVENT)) {
          event = field.toString();
        }
      }
      json.writeStringField(Field.EVENT, event);
      json.writeStringField("message", formatMessage(record));
      Set<String> written =
          new HashSet<>(Set.of("at", "level", "logger", Field.EVENT, "message", "error"));
      for (Object parameter : parameters) {
        if (parameter instanceof Field field && written.add(field.name())) {
          write(json, field);
        }
      }
      if (record.getThrown() != null) {
        StringWriter trace = new StringWriter();
        record.getThrown().printStackTrace(new PrintWriter(trace));
        json.writeStringField("error", trace.toString());
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.append(System.lineSeparator()).toString();
  }

  private static void write(JsonGenerator json, Field field) throws IOException {
    if (field.value() instanceof Integer || field.value() instanceof Long) {
      json.writeNumberField(field.name(), ((Number) field.value()).longValue());
    } else {
      json.writeStringField(field.name(), String.valueOf(field.value()));
    }
  }
}
