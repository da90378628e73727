package cobaltseam.emulator;

/**
 * A running FNV-1a hash of what happened in a run, so that two runs can be compared event by event.
 */
final class EventHash {
  private static final long FNV_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private long hash = FNV_BASIS;

  void add(long event) {
    hash = (hash ^ event) * FNV_PRIME;
  }

  long value() {
    return hash;
  }
}
