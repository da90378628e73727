package cobaltseam.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What a fleet knows of one of its processes, by what that logged last. */
final class ProcessRecord {
  Process process;

  /** The incarnation that it logged last, and the view; zero and null before. */
  long incarnation;

  String view;
  List<String> members = List.of();
  List<String> activeVersions = List.of();
  String quorumState = "none";
  int starts;
  boolean isSuspended;
  final Map<String, Integer> events = new HashMap<>();
}
