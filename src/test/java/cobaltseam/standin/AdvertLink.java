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
 * A one-way proxy for the adverts from one dispatcher to another. The link loses, duplicates and
 * delays adverts at random from a seed, where delays also reorder them, and can be cut. The sender
 * is configured with the link's receiving address as its peer, and the receiver sees the link's
 * source address as that of the sender.
 */
public final class AdvertLink implements AutoCloseable {
  /**
   * The faults of a link.
   *
   * @param lossRate the share of adverts that are lost, from 0 to 1
   * @param duplicationRate the share of adverts that are duplicated, from 0 to 1
   * @param delayRate the share of adverts that are delayed, from 0 to 1
   * @param maxDelayMs the longest delay of an advert
   */
  public record Fault(double lossRate, double duplicationRate, double delayRate, int maxDelayMs) {
    public static final Fault NONE = new Fault(0, 0, 0, 0);

    /** Returns a fault that only loses adverts, at a rate from 0 to 1. */
    public static Fault loss(double lossRate) {
      return new Fault(lossRate, 0, 0, 0);
    }
  }

  private final DatagramSocket in;
  private final DatagramSocket out;
  private final InetSocketAddress destination;
  private final SplittableRandom random;
  private final ScheduledExecutorService scheduler =
      Executors.newSingleThreadScheduledExecutor(EmulatedEngine::daemonThread);
  private final AtomicLong forwarded = new AtomicLong();
  private volatile Fault fault = Fault.NONE;
  private volatile boolean cut;

  /**
   * Opens the link and starts to forward adverts, without faults.
   *
   * @param receiveAddress the address to which the sending dispatcher sends its adverts
   * @param sourceAddress the address from which the receiving dispatcher receives the adverts
   * @param destination the address on which the receiving dispatcher listens
   * @param seed the seed of the random faults
   */
  public AdvertLink(
      InetSocketAddress receiveAddress,
      InetAddress sourceAddress,
      InetSocketAddress destination,
      long seed)
      throws IOException {
    in = new DatagramSocket(receiveAddress);
    out = new DatagramSocket(new InetSocketAddress(sourceAddress, 0));
    this.destination = destination;
    random = new SplittableRandom(seed);
    EmulatedEngine.daemonThread(this::forwardAdverts).start();
  }

  /** Replaces the faults of the link. */
  public void setFault(Fault newFault) {
    fault = newFault;
  }

  /** Cuts the link, or restores it. */
  public void setCut(boolean isCut) {
    cut = isCut;
  }

  /** Returns the number of adverts that were forwarded, duplicates included. */
  public long forwardedAdverts() {
    return forwarded.get();
  }

  /** Sends a datagram to the receiver from the link's source address. */
  public void sendToReceiver(byte[] bytes) throws IOException {
    out.send(new DatagramPacket(bytes, bytes.length, destination));
  }

  private void forwardAdverts() {
    byte[] buffer = new byte[65_535];
    while (!in.isClosed()) {
      try {
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        in.receive(packet);
        byte[] bytes = Arrays.copyOf(buffer, packet.getLength());
        Fault currentFault = fault;
        boolean isLost = random.nextDouble() < currentFault.lossRate;
        boolean isDuplicated = random.nextDouble() < currentFault.duplicationRate;
        int delayMs =
            random.nextDouble() < currentFault.delayRate
                ? random.nextInt(currentFault.maxDelayMs + 1)
                : 0;
        if (isLost || cut) {
          continue;
        }
        for (int i = 0; i < (isDuplicated ? 2 : 1); i++) {
          scheduler.schedule(() -> forward(bytes), delayMs * (i + 1L), TimeUnit.MILLISECONDS);
        }
      } catch (IOException e) {
        return;
      }
    }
  }

  private void forward(byte[] bytes) {
    try {
      sendToReceiver(bytes);
      forwarded.incrementAndGet();
    } catch (IOException e) {
      // The receiver does not listen at the moment, so the advert is lost.
      forwarded.get();
    }
  }

  @Override
  public void close() {
    in.close();
    out.close();
    scheduler.shutdownNow();
  }
}
