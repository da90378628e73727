package cobaltseam.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Cuts a script of faults down to the least that still fails: whole faults first, in halves and
 * then one by one, then each to what is simpler of it, as its kind tells. What is left fails, and
 * no single further cut of these kinds does.
 */
public final class Shrink<T> {
  private final Predicate<List<T>> fails;
  private final Function<T, List<T>> simpler;
  private int runs;

  /**
   * @param simpler the next simpler forms of one fault, the simplest first
   */
  public Shrink(Predicate<List<T>> fails, Function<T, List<T>> simpler) {
    this.fails = fails;
    this.simpler = simpler;
  }

  /** How often a candidate was tried. */
  public int runs() {
    return runs;
  }

  private boolean fails(List<T> faults) {
    runs++;
    return fails.test(faults);
  }

  /**
   * @param failing a script that fails
   */
  public List<T> of(List<T> failing) {
    List<T> least = new ArrayList<>(failing);
    for (int part = Math.max(1, least.size() / 2); ; part = Math.max(1, part / 2)) {
      boolean cut = false;
      for (int from = 0; from < least.size(); ) {
        List<T> less = new ArrayList<>(least);
        less.subList(from, Math.min(from + part, less.size())).clear();
        if (fails(less)) {
          least = less;
          cut = true;
        } else {
          from += part;
        }
      }
      if (part == 1 && !cut) {
        break;
      }
    }
    for (int i = 0; i < least.size(); i++) {
      least = simplest(least, i);
    }
    return least;
  }

  private List<T> simplest(List<T> faults, int index) {
    List<T> least = faults;
    for (boolean cut = true; cut; ) {
      cut = false;
      for (T form : simpler.apply(least.get(index))) {
        List<T> less = new ArrayList<>(least);
        less.set(index, form);
        if (fails(less)) {
          least = less;
          cut = true;
          break;
        }
      }
    }
    return least;
  }
}
