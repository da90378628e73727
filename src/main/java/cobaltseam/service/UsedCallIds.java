package cobaltseam.service;

import java.util.Arrays;

/**
 * The call ids of recent requests that engines may have run. A client has to give each request a
 * new id; a request whose id is in this set must not run again. Holds between {@link
 * #IDS_PER_GENERATION} and twice as many ids, in two generations of which the older one is
 * forgotten. Takes 512 KB, whatever it holds. Not thread-safe.
 */
final class UsedCallIds {
  /** At 500 requests a second, an id is remembered for half a minute at least. */
  static final int IDS_PER_GENERATION = 1 << 14;

  private static final int HEX_RADIX = 16;

  /** The golden ratio as a fraction of 2^64, which spreads consecutive ids (Knuth, 6.4). */
  private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;

  /** A set of ids that only grows: a hash table with linear probing, at most half full. */
  private static final class Generation {
    private final long[] slots = new long[2 * IDS_PER_GENERATION];
    private boolean hasZero;
    private int size;

    /** Returns the slot of an id, or the free one in which it belongs. */
    private int slotOf(long id) {
      int slot = Long.hashCode(id * HASH_MULTIPLIER) & slots.length - 1;
      while (slots[slot] != 0 && slots[slot] != id) {
        slot = slot + 1 & slots.length - 1;
      }
      return slot;
    }

    boolean contains(long id) {
      return id == 0 ? hasZero : slots[slotOf(id)] == id;
    }

    void add(long id) {
      if (contains(id)) {
        return;
      }
      size++;
      if (id == 0) {
        hasZero = true;
      } else {
        slots[slotOf(id)] = id;
      }
    }

    void clear() {
      Arrays.fill(slots, 0);
      hasZero = false;
      size = 0;
    }
  }

  private Generation current = new Generation();
  private Generation earlier = new Generation();

  /** Adds an id of 16 hexadecimal digits. */
  void add(String callId) {
    if (current.size == IDS_PER_GENERATION) {
      Generation oldest = earlier;
      earlier = current;
      current = oldest;
      current.clear();
    }
    current.add(Long.parseUnsignedLong(callId, HEX_RADIX));
  }

  /** Whether an id of 16 hexadecimal digits was added recently. */
  boolean contains(String callId) {
    long id = Long.parseUnsignedLong(callId, HEX_RADIX);
    return current.contains(id) || earlier.contains(id);
  }
}
