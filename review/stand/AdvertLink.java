package stand;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Carries the adverts of one dispatcher to the other, unchanged, and records each. */
public final class AdvertLink implements AutoCloseable {
  /** One advert: when it came, its virtual router and its priority (RFC 9568, section 5.2). */
  public record Advert(double at, int router, int priority) {}

  public final List<Advert> adverts = new CopyOnWriteArrayList<>();
  private final DatagramSocket in;
  private final DatagramSocket out;

  public AdvertLink(
      String from, InetSocketAddress listen, InetAddress source, InetSocketAddress to, Record record)
      throws IOException {
    in = new DatagramSocket(listen);
    out = new DatagramSocket(0, source);
    Engine.daemon(
        () -> {
          byte[] bytes = new byte[4200];
          int last = -1;
          try {
            while (true) {
              DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
              in.receive(packet);
              Advert advert = new Advert(record.ms(), bytes[1] & 0xff, bytes[2] & 0xff);
              adverts.add(advert);
              int key = advert.router << 8 | advert.priority;
              if (key != last) {
                record.line(advert.at, from + " advertises router " + advert.router + ", priority " + advert.priority);
              }
              last = key;
              out.send(new DatagramPacket(bytes, packet.getLength(), to));
            }
          } catch (IOException e) {
            return;
          }
        });
  }

  @Override
  public void close() {
    in.close();
    out.close();
  }
}
