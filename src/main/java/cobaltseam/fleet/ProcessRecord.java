package cobaltseam.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The state of one process of a fleet, as far as it is known from its log. */
final class ProcessRecord {
  Process process;

  /** The incarnation that the process logged last; zero if it has logged none. */
  long incarnation;

  /** The id of the view that the process logged last; null if it has none. */
  String view;

  List<String> members = List.of();
  List<String> activeVersions = List.of();
  String quorumState = "none";
  int starts;
  boolean isSuspended;

  /** Whether all that was read of the log is processed; written by the thread that reads it. */
  volatile boolean isLogReaderIdle;

  /** Environment variables of the process, in addition to those of this one. */
  final Map<String, String> environment = new HashMap<>();

  final Map<String, Integer> events = new HashMap<>();
}
