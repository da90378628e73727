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

  private boolean contradicts(ActivationRecord other, Set<String> harmless) {
    return !versions.isEmpty()
        && !other.versions.isEmpty()
        && versions.stream()
            .noneMatch(
                e ->
                    other.versions.stream()
                        .anyMatch(
                            o ->
                                o.equals(e)
                                    || harmless.contains(hash(e)) && harmless.contains(hash(o))));
  }

  private static String hash(String edition) {
    return edition.substring(edition.lastIndexOf(':') + 1);
  }

  /**
   * The longest time without a break during which any two contradicted each other, up to the end of
   * the record.
   *
   * @param harmless hashes of contents of which no two contradict each other
   */
  public static Contradiction longest(
      List<ActivationRecord> record, Set<String> harmless, double endS) {
    Map<Integer, ActivationRecord> acting = new HashMap<>();
    Map<List<Integer>, Double> since = new HashMap<>();
    Contradiction longest = Contradiction.NONE;
    List<ActivationRecord> all = new ArrayList<>(record);
    all.sort(java.util.Comparator.comparingDouble(ActivationRecord::atS));
    for (ActivationRecord a : all) {
      ActivationRecord before = acting.put(a.process, a);
      for (ActivationRecord b : acting.values()) {
        List<Integer> pair =
            List.of(Math.min(a.process, b.process), Math.max(a.process, b.process));
        Double from = since.get(pair);
        if (b.process == a.process || from == null && !a.contradicts(b, harmless)) {
          continue;
        } else if (from == null) {
          since.put(pair, a.atS);
        } else if (!a.contradicts(b, harmless)) {
          since.remove(pair);
          if (a.atS - from > longest.seconds) {
            longest =
                new Contradiction(
                    a.atS - from,
                    a.atS,
                    a.process,
                    b.process,
                    (before == null ? List.of() : before.versions) + " against " + b.versions);
          }
        }
      }
    }
    for (Map.Entry<List<Integer>, Double> open : since.entrySet()) {
      if (endS - open.getValue() > longest.seconds) {
        int one = open.getKey().get(0);
        int other = open.getKey().get(1);
        longest =
            new Contradiction(
                endS - open.getValue(),
                endS,
                one,
                other,
                acting.get(one).versions + " against " + acting.get(other).versions);
      }
    }
    return longest;
  }

  /** Numbers that were held with more than one content. */
  public static List<String> twoUnderOneNumber(List<ActivationRecord> record) {
    Map<String, Set<String>> byNumber = new HashMap<>();
    for (ActivationRecord a : record) {
      a.versions.forEach(
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
