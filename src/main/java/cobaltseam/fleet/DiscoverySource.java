package cobaltseam.fleet;

import java.net.InetSocketAddress;
import java.util.List;

/** The address of the discovery service, and its first events as JSON. */
public record DiscoverySource(InetSocketAddress address, List<String> initialEvents) {
  static final DiscoverySource UNREACHABLE =
      new DiscoverySource(
          new InetSocketAddress("127.0.0.1", 1),
          List.of(
              "{\"offset\":1,\"topology\":{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"s-00000001\",\"endpoint\":\"127.0.0.1:1\",\"az\":\"z\","
                  + "\"model\":\"m\",\"state\":\"in_service\",\"boot_ms\":0}]}}"));
}
