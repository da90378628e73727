package cobaltseam.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The keys of a slot table. */
class SlotTableTest {
  @Test
  void keyFindsNoItemAfterItsSlotWasFreed() {
    SlotTable<String> slots = new SlotTable<>(2);
    long first = slots.add("a");
    long second = slots.add("b");
    assertEquals(SlotTable.NONE, slots.add("c"));
    slots.free(first);
    slots.free(first);
    long third = slots.add("c");
    assertEquals(
        "null b c 2",
        slots.get(first) + " " + slots.get(second) + " " + slots.get(third) + " " + slots.size());
    assertEquals(null, slots.get(SlotTable.NONE));
  }
}
