package cobaltseam.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Cuts a script of faults down to the least that still fails: whole faults first, in halves and then one by one, then the
 * engines of each, then its length. What is left fails, and no single further cut of these kinds does.
 */
final class Shrink {
    private static final double SHORTEST_S = 0.1;

    private final Predicate<List<Fault>> fails;
    private int runs;

    Shrink(Predicate<List<Fault>> fails) {
        this.fails = fails;
    }

    int runs() {
        return runs;
    }

    private boolean fails(List<Fault> faults) {
        runs++;
        return fails.test(faults);
    }

    /** @param failing a script that fails */
    List<Fault> of(List<Fault> failing) {
        List<Fault> least = new ArrayList<>(failing);
        for (int part = Math.max(1, least.size() / 2); ; part = Math.max(1, part / 2)) {
            boolean cut = false;
            for (int from = 0; from < least.size();) {
                List<Fault> less = new ArrayList<>(least);
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
            least = engines(least, i);
            least = length(least, i);
        }
        return least;
    }

    private List<Fault> engines(List<Fault> faults, int i) {
        List<Fault> least = faults;
        for (int e = 0; e < least.get(i).engines().size() && least.get(i).engines().size() > 1;) {
            Fault f = least.get(i);
            List<Integer> fewer = new ArrayList<>(f.engines());
            fewer.remove(e);
            List<Fault> less = with(least, i, new Fault(f.kind(), f.atS(), f.lengthS(), fewer, f.size(), f.who()));
            if (fails(less)) {
                least = less;
            } else {
                e++;
            }
        }
        return least;
    }

    private List<Fault> length(List<Fault> faults, int i) {
        List<Fault> least = faults;
        while (least.get(i).lengthS() / 2 >= SHORTEST_S) {
            Fault f = least.get(i);
            List<Fault> less = with(least, i, new Fault(f.kind(), f.atS(), f.lengthS() / 2, f.engines(), f.size(), f.who()));
            if (!fails(less)) {
                break;
            }
            least = less;
        }
        return least;
    }

    private static List<Fault> with(List<Fault> faults, int i, Fault fault) {
        List<Fault> changed = new ArrayList<>(faults);
        changed.set(i, fault);
        return changed;
    }
}
