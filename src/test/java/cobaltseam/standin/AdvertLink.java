package cobaltseam.standin;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Carries adverts from one dispatcher to another: loses, duplicates and delays them at random from
 * a seed, which also reorders them, and can be cut. The sender sends to it as to its peer, and the
 * receiver sees its address as that of the sender.
 */
public final class AdvertLink implements AutoCloseable {
  /**
   * The faults of a link: the parts, from 0 to 1, that are lost, duplicated and late, and the
   * longest delay.
   */
  public record Fault(double lost, double doubled, double late, int lateMs) {
    public static final Fault NONE = new Fault(0, 0, 0, 0);

    /** A fault that only loses this part of the adverts. */
    public static Fault loss(double share) {
      return new Fault(share, 0, 0, 0);
    }
  }

  private final DatagramSocket in;
  private final DatagramSocket out;
  private final InetSocketAddress to;
  private final SplittableRandom chance;
  private final ScheduledExecutorService late =
      Executors.newSingleThreadScheduledExecutor(EmulatedEngine::thread);
  private final AtomicLong passed = new AtomicLong();
  private volatile Fault fault = Fault.NONE;
  private volatile boolean cut;

  /**
   * @param hears where the sending dispatcher believes its peer to be
   * @param speaks the address that the receiving dispatcher believes the sender to have
   * @param to where the receiving dispatcher listens
   */
  public AdvertLink(InetSocketAddress hears, InetAddress speaks, InetSocketAddress to, long seed)
      throws IOException {
    in = new DatagramSocket(hears);
    out = new DatagramSocket(new InetSocketAddress(speaks, 0));
    this.to = to;
    chance = new SplittableRandom(seed);
    EmulatedEngine.thread(this::run).start();
  }

  /** From now on the link has these faults. */
  public void setFault(Fault now) {
    fault = now;
  }

  /** Cuts the link, or restores it. */
  public void setCut(boolean now) {
    cut = now;
  }

  /** The number of adverts that were passed on. */
  public long passedAdverts() {
    return passed.get();
  }

  /** Sends bytes to the receiver as if they came from the sender. */
  public void sendToReceiver(byte[] bytes) throws IOException {
    out.send(new DatagramPacket(bytes, bytes.length, to));
  }

  private void run() {
    byte[] buffer = new byte[65_535];
    while (!in.isClosed()) {
      try {
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        in.receive(packet);
        byte[] bytes = Arrays.copyOf(buffer, packet.getLength());
        Fault now = fault;
        boolean lost = chance.nextDouble() < now.lost;
        boolean twice = chance.nextDouble() < now.doubled;
        int wait = chance.nextDouble() < now.late ? chance.nextInt(now.lateMs + 1) : 0;
        if (lost || cut) {
          continue;
        }
        for (int i = 0; i < (twice ? 2 : 1); i++) {
          late.schedule(() -> pass(bytes), wait * (i + 1L), TimeUnit.MILLISECONDS);
        }
      } catch (IOException e) {
        return;
      }
    }
  }

  private void pass(byte[] bytes) {
    try {
      sendToReceiver(bytes);
      passed.incrementAndGet();
    } catch (IOException e) {
      // The receiver is not there now; the advert is lost.
      passed.get();
    }
  }

  @Override
  public void close() {
    in.close();
    out.close();
    late.shutdownNow();
  }
}
