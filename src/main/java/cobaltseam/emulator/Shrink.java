package cobaltseam.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Minimises a failing list of faults by delta debugging. Removes faults as long as the rest still
 * fails, first half of them at a time and finally one at a time, and then replaces each remaining
 * fault by simpler variants. The result fails; before the faults are simplified, none of them can
 * be removed on its own.
 *
 * @param <T> the type of a fault
 */
public final class Shrink<T> {
  private final Predicate<List<T>> fails;
  private final Function<T, List<T>> simplerVariants;
  private int runs;

  /**
   * Creates a minimiser.
   *
   * @param fails whether a list of faults fails
   * @param simplerVariants the simpler variants of a fault, in the order in which they are tried
   */
  public Shrink(Predicate<List<T>> fails, Function<T, List<T>> simplerVariants) {
    this.fails = fails;
    this.simplerVariants = simplerVariants;
  }

  /** The number of candidates that were tried. */
  public int runs() {
    return runs;
  }

  private boolean fails(List<T> faults) {
    runs++;
    return fails.test(faults);
  }

  /**
   * Minimises a list of faults.
   *
   * @param failing a list that fails
   */
  public List<T> shrink(List<T> failing) {
    List<T> minimal = new ArrayList<>(failing);
    for (int length = Math.max(1, minimal.size() / 2); ; length = Math.max(1, length / 2)) {
      boolean removed = false;
      for (int from = 0; from < minimal.size(); ) {
        List<T> candidate = new ArrayList<>(minimal);
        candidate.subList(from, Math.min(from + length, candidate.size())).clear();
        if (fails(candidate)) {
          minimal = candidate;
          removed = true;
        } else {
          from += length;
        }
      }
      if (length == 1 && !removed) {
        break;
      }
    }
    for (int i = 0; i < minimal.size(); i++) {
      minimal = simplify(minimal, i);
    }
    return minimal;
  }

  /** Replaces one fault by simpler variants as long as the list fails. */
  private List<T> simplify(List<T> faults, int index) {
    List<T> minimal = faults;
    for (boolean simplified = true; simplified; ) {
      simplified = false;
      for (T variant : simplerVariants.apply(minimal.get(index))) {
        List<T> candidate = new ArrayList<>(minimal);
        candidate.set(index, variant);
        if (fails(candidate)) {
          minimal = candidate;
          simplified = true;
          break;
        }
      }
    }
    return minimal;
  }
}
