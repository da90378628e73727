package cobaltseam.fleet;

import java.util.List;

/**
 * One entry in the history of a process: the view it has installed from this time on.
 *
 * @param process the number of the process in the fleet; {@code incarnation} distinguishes its
 *     restarts
 * @param view the id of the view, or null if the process has installed none
 * @param members name and incarnation of each member of the view
 * @param isStart whether the process starts here
 */
public record RecordedEvent(
    double atS, int process, long incarnation, String view, List<String> members, boolean isStart) {
  /** An event that is not the start of a process. */
  public RecordedEvent(
      double atS, int process, long incarnation, String view, List<String> members) {
    this(atS, process, incarnation, view, members, false);
  }
}
