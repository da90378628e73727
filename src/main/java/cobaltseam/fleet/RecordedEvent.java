package cobaltseam.fleet;

import java.util.List;

/**
 * One line of a process's own record: what it held from a moment on.
 *
 * @param process its number in the fleet; the incarnation tells which process of that number
 * @param view the view's id, or null where it holds none
 * @param members name and birth of each
 * @param isStart whether a process starts here
 */
public record RecordedEvent(
    double atS, int process, long incarnation, String view, List<String> members, boolean isStart) {
  /** An event that is not the start of a process. */
  public RecordedEvent(
      double atS, int process, long incarnation, String view, List<String> members) {
    this(atS, process, incarnation, view, members, false);
  }
}
