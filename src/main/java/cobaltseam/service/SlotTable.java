package cobaltseam.service;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * A table of a bounded number of slots. A key names one use of a slot, so that a key that is used
 * after its item was removed finds nothing.
 */
final class SlotTable<T> {
  /** The key of no slot. */
  static final long NONE = -1;

  private static final int INDEX_BITS = 24;

  private final int maxSlots;
  private final List<T> items = new ArrayList<>();
  private final List<Integer> useCounts = new ArrayList<>();
  private final List<Integer> freeSlots = new ArrayList<>();

  SlotTable(int maxSlots) {
    this.maxSlots = Math.min(maxSlots, 1 << INDEX_BITS);
  }

  /** Adds an item. Returns its key, or NONE if the table is full. */
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

  /** The item with this key, or null if it was removed. */
  T get(long key) {
    int index = (int) (key & (1 << INDEX_BITS) - 1);
    return key >= 0 && index < items.size() && key(index) == key ? items.get(index) : null;
  }

  /** Removes the item with this key; a key that finds nothing is ignored. */
  void free(long key) {
    if (get(key) != null) {
      int index = (int) (key & (1 << INDEX_BITS) - 1);
      items.set(index, null);
      useCounts.set(index, useCounts.get(index) + 1 & Integer.MAX_VALUE);
      freeSlots.add(index);
    }
  }

  /** The number of items. */
  int size() {
    return items.size() - freeSlots.size();
  }

  /** Calls this for a copy of all items, so that it may add and remove items. */
  void forEach(Consumer<T> action) {
    for (T item : items.stream().filter(Objects::nonNull).toList()) {
      action.accept(item);
    }
  }
}
