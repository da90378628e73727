package cobaltseam.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

/** A table of numbered slots. A key names one use of a slot, so that a late key finds nothing. */
final class SlotTable<T> {
  static final long NONE = -1;
  private static final int INDEX_BITS = 24;

  private final int most;
  private final List<T> held = new ArrayList<>();
  private final List<Integer> uses = new ArrayList<>();
  private final List<Integer> free = new ArrayList<>();

  SlotTable(int most) {
    this.most = Math.min(most, 1 << INDEX_BITS);
  }

  /** The key of a slot that holds this from now on, or NONE if all are taken. */
  long take(T item) {
    if (!free.isEmpty()) {
      int index = free.remove(free.size() - 1);
      held.set(index, item);
      return key(index);
    }
    if (held.size() >= most) {
      return NONE;
    }
    held.add(item);
    uses.add(0);
    return key(held.size() - 1);
  }

  private long key(int index) {
    return (long) uses.get(index) << INDEX_BITS | index;
  }

  /** What the slot of this key holds, or null if that has left. */
  T get(long key) {
    int index = (int) (key & (1 << INDEX_BITS) - 1);
    return key >= 0 && index < held.size() && key(index) == key ? held.get(index) : null;
  }

  void free(long key) {
    if (get(key) != null) {
      int index = (int) (key & (1 << INDEX_BITS) - 1);
      held.set(index, null);
      uses.set(index, uses.get(index) + 1 & Integer.MAX_VALUE);
      free.add(index);
    }
  }

  int size() {
    return held.size() - free.size();
  }

  void forEach(Consumer<T> each) {
    for (T item : held.stream().filter(Objects::nonNull).toList()) {
      each.accept(item);
    }
  }
}
