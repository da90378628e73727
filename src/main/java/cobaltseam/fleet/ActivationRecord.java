package cobaltseam.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * One entry in the history of a process: the versions of the agreed document on which it acts from
 * this time on.
 *
 * @param versions lineage, number and hash of each version: one version if the process acts on it
 *     alone, several if it acts on their conservative merge, none if it acts on nothing that could
 *     contradict another process, because it has fallen back, is suspended or is dead
 */
public record ActivationRecord(double atS, int process, List<String> versions) {
  /**
   * The longest time for which two processes acted on contradicting versions. Results print this
   * record, so that its component names stay.
   *
   * @param seconds the duration; zero if no two processes ever contradicted each other
   * @param untilS the time of its end
   * @param what the versions of both processes
   */
  public record Contradiction(double seconds, double untilS, int one, int other, String what) {
    static final Contradiction NONE = new Contradiction(0, 0, -1, -1, "");
  }

  private boolean contradicts(ActivationRecord other, Set<String> compatibleHashes) {
    return !versions.isEmpty()
        && !other.versions.isEmpty()
        && versions.stream()
            .noneMatch(
                own ->
                    other.versions.stream()
                        .anyMatch(
                            theirs ->
                                theirs.equals(own)
                                    || compatibleHashes.contains(hash(own))
                                        && compatibleHashes.contains(hash(theirs))));
  }

  private static String hash(String version) {
    return version.substring(version.lastIndexOf(':') + 1);
  }

  /**
   * Returns the longest uninterrupted time for which two processes contradicted each other, up to
   * the end of the history.
   *
   * @param compatibleHashes hashes of the documents of which no two contradict each other
   * @param endS the time at which the history ends
   */
  public static Contradiction longestContradiction(
      List<ActivationRecord> activations, Set<String> compatibleHashes, double endS) {
    Map<Integer, ActivationRecord> activeByProcess = new HashMap<>();
    Map<List<Integer>, Double> contradictingSinceS = new HashMap<>();
    Contradiction longest = Contradiction.NONE;
    List<ActivationRecord> sorted = new ArrayList<>(activations);
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

  /** Returns the version numbers of one lineage that were used for more than one document. */
  public static List<String> versionConflicts(List<ActivationRecord> activations) {
    Map<String, Set<String>> byNumber = new HashMap<>();
    for (ActivationRecord current : activations) {
      current.versions.forEach(
          e ->
              byNumber
                  .computeIfAbsent(e.substring(0, e.lastIndexOf(':')), number -> new TreeSet<>())
                  .add(e));
    }
    return byNumber.values().stream()
        .filter(versions -> versions.size() > 1)
        .map(versions -> "one number, two contents: " + versions)
        .toList();
  }
}
