package cobaltseam.mastership;

import static cobaltseam.mastership.MastershipFixture.HIGHER;
import static cobaltseam.mastership.MastershipFixture.LOWER;
import static cobaltseam.mastership.MastershipFixture.SECOND;
import static cobaltseam.mastership.MastershipFixture.START;
import static cobaltseam.mastership.MastershipFixture.advertisement;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cobaltseam.dispatch.Timestamp;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The changes that an {@link ActiveRouterObserver} reports. */
class ActiveRouterObserverTest {
  private final Timestamp now = START;

  @Test
  void reportsSplitsResignationsAndExpiredAdvertisements() {
    ActiveRouterObserver observer = new ActiveRouterObserver();
    assertEquals(
        List.of(LOWER),
        observer.onAdvertisement(LOWER, advertisement(50), now).get(0).activeRouters());
    assertEquals(List.of(), observer.onAdvertisement(LOWER, advertisement(50), now));
    assertEquals(
        List.of(LOWER, HIGHER),
        observer.onAdvertisement(HIGHER, advertisement(60), now).get(0).activeRouters());
    assertEquals(
        List.of(HIGHER),
        observer.onAdvertisement(LOWER, advertisement(0), now).get(0).activeRouters());
    assertEquals(List.of(), observer.expireAdvertisements(now.plus(SECOND)));
    assertEquals(now.plus(SECOND.times(4)), observer.nextExpiry());
    assertEquals(
        List.of(), observer.expireAdvertisements(observer.nextExpiry()).get(0).activeRouters());
  }
}
