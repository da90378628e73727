package cobaltseam.emulator;

/**
 * A running hash of the events of a run, for comparing runs. Like FNV-1a, but over 64-bit values
 * instead of bytes.
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
