package cobaltseam.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * A table with a limited number of reusable slots. A key combines the index of a slot with the
 * number of its earlier uses, so that the key of a removed item never finds a later one.
 */
final class SlotTable<T> {
  /** A key that never finds an item. */
  static final long NONE = -1;

  private static final int INDEX_BITS = 24;

  private final int maxSlots;
  private final List<T> items = new ArrayList<>();
  private final List<Integer> useCounts = new ArrayList<>();
  private final List<Integer> freeSlots = new ArrayList<>();

  SlotTable(int maxSlots) {
    this.maxSlots = Math.min(maxSlots, 1 << INDEX_BITS);
  }

  /** Adds an item, and returns its key, or {@link #NONE} if the table is full. */
  long add(T item) {
    if (!freeSlots.isEmpty()) {
      int index = freeSlots.remove(freeSlots.size() - 1);
      items.set(index, item);
      return key(index);
    }
    if (items.size() >= maxSlots) {
      return NONE;
    }
    items.add(item);
    useCounts.add(0);
    return key(items.size() - 1);
  }

  private long key(int index) {
    return (long) useCounts.get(index) << INDEX_BITS | index;
  }

  /** Returns the item with this key, or null if there is none or it was removed. */
  T get(long key) {
    int index = (int) (key & (1 << INDEX_BITS) - 1);
    return key >= 0 && index < items.size() && key(index) == key ? items.get(index) : null;
  }

  /** Removes the item with this key; a key without an item is ignored. */
  void free(long key) {
    if (get(key) != null) {
      int index = (int) (key & (1 << INDEX_BITS) - 1);
      items.set(index, null);
      useCounts.set(index, useCounts.get(index) + 1 & Integer.MAX_VALUE);
      freeSlots.add(index);
    }
  }

  /** Returns the number of items. */
  int size() {
    return items.size() - freeSlots.size();
  }

  /** Calls an action, which may add and remove items, for each item of a snapshot. */
  void forEach(Consumer<T> action) {
    for (T item : items.stream().filter(Objects::nonNull).toList()) {
      action.accept(item);
    }
  }
}
