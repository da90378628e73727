package cobaltseam.mastership;

import static cobaltseam.mastership.MastershipFixture.HIGHER;
import static cobaltseam.mastership.MastershipFixture.LOWER;
import static cobaltseam.mastership.MastershipFixture.SECOND;
import static cobaltseam.mastership.MastershipFixture.START;
import static cobaltseam.mastership.MastershipFixture.advert;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cobaltseam.dispatch.Timestamp;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which changes an observer of advertisements reports. */
class ActiveRouterObserverTest {
  private final Timestamp now = START;

  @Test
  void anObserverReportsSilencesAndSplits() {
    ActiveRouterObserver observer = new ActiveRouterObserver();
    assertEquals(
        List.of(LOWER), observer.onAdvertisement(LOWER, advert(50), now).get(0).activeRouters());
    assertEquals(List.of(), observer.onAdvertisement(LOWER, advert(50), now));
    assertEquals(
        List.of(LOWER, HIGHER),
        observer.onAdvertisement(HIGHER, advert(60), now).get(0).activeRouters());
    assertEquals(
        List.of(HIGHER), observer.onAdvertisement(LOWER, advert(0), now).get(0).activeRouters());
    assertEquals(List.of(), observer.expireAdvertisements(now.plus(SECOND)));
    assertEquals(now.plus(SECOND.times(4)), observer.nextExpiry());
    assertEquals(
        List.of(), observer.expireAdvertisements(observer.nextExpiry()).get(0).activeRouters());
  }
}
