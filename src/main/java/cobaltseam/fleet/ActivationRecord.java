package cobaltseam.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * One line of a process's own record: on which editions of the agreed document it acts from a
 * moment on.
 *
 * @param versions number and hash of each; one if it acts on that alone, several if it reads
 *     between them, none if it acts on nothing that could contradict another: stepped back,
 *     standing still or dead
 */
public record ActivationRecord(double atS, int process, List<String> versions) {
  /**
   * Two processes and how long they acted on editions that contradict each other; the longest of
   * all.
   */
  public record Contradiction(double seconds, double untilS, int one, int other, String what) {
    static final Contradiction NONE = new Contradiction(0, 0, -1, -1, "");
  }

  private boolean contradicts(ActivationRecord other, Set<String> compatibleHashes) {
    return !versions.isEmpty()
        && !other.versions.isEmpty()
        && versions.stream()
            .noneMatch(
                e ->
                    other.versions.stream()
                        .anyMatch(
                            o ->
                                o.equals(e)
                                    || compatibleHashes.contains(hash(e))
                                        && compatibleHashes.contains(hash(o))));
  }

  private static String hash(String version) {
    return version.substring(version.lastIndexOf(':') + 1);
  }

  /**
   * The longest time without a break during which any two contradicted each other, up to the end of
   * the record.
   *
   * @param compatibleHashes hashes of contents of which no two contradict each other
   */
  public static Contradiction longestContradiction(
      List<ActivationRecord> record, Set<String> compatibleHashes, double endS) {
    Map<Integer, ActivationRecord> activeByProcess = new HashMap<>();
    Map<List<Integer>, Double> contradictingSinceS = new HashMap<>();
    Contradiction longest = Contradiction.NONE;
    List<ActivationRecord> sorted = new ArrayList<>(record);
    sorted.sort(java.util.Comparator.comparingDouble(ActivationRecord::atS));
    for (ActivationRecord current : sorted) {
      ActivationRecord previous = activeByProcess.put(current.process, current);
      for (ActivationRecord concurrent : activeByProcess.values()) {
        List<Integer> pair =
            List.of(
                Math.min(current.process, concurrent.process),
                Math.max(current.process, concurrent.process));
        Double sinceS = contradictingSinceS.get(pair);
        if (concurrent.process == current.process
            || sinceS == null && !current.contradicts(concurrent, compatibleHashes)) {
          continue;
        } else if (sinceS == null) {
          contradictingSinceS.put(pair, current.atS);
        } else if (!current.contradicts(concurrent, compatibleHashes)) {
          contradictingSinceS.remove(pair);
          if (current.atS - sinceS > longest.seconds) {
            longest =
                new Contradiction(
                    current.atS - sinceS,
                    current.atS,
                    current.process,
                    concurrent.process,
                    (previous == null ? List.of() : previous.versions)
                        + " against "
                        + concurrent.versions);
          }
        }
      }
    }
    for (Map.Entry<List<Integer>, Double> entry : contradictingSinceS.entrySet()) {
      if (endS - entry.getValue() > longest.seconds) {
        int one = entry.getKey().get(0);
        int other = entry.getKey().get(1);
        longest =
            new Contradiction(
                endS - entry.getValue(),
                endS,
                one,
                other,
                activeByProcess.get(one).versions
                    + " against "
                    + activeByProcess.get(other).versions);
      }
    }
    return longest;
  }

  /** Numbers that were held with more than one content. */
  public static List<String> versionConflicts(List<ActivationRecord> record) {
    Map<String, Set<String>> byNumber = new HashMap<>();
    for (ActivationRecord current : record) {
      current.versions.forEach(
          e ->
              byNumber
                  .computeIfAbsent(e.substring(0, e.lastIndexOf(':')), n -> new TreeSet<>())
                  .add(e));
    }
    return byNumber.values().stream()
        .filter(e -> e.size() > 1)
        .map(e -> "one number, two contents: " + e)
        .toList();
  }
}
