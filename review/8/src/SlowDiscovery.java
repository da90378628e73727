/** Discovery answers each new watch 3 s late. */
final class SlowDiscovery {
  private static final long FIRST_LINE_DELAY_MS = 3000;

  private SlowDiscovery() {}

  public static void main(String[] args) throws Exception {
    Stand.run(
        args[0], () -> ReplacedEngine.play(bus -> bus.firstLineDelayMs = FIRST_LINE_DELAY_MS));
  }
}
