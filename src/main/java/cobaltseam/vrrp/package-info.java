/**
 * The wire format of VRRP version 3 advertisements (RFC 9568) and their optional authentication.
 * The entry point is {@link cobaltseam.vrrp.AdvertisementCodec}. All classes are immutable or
 * stateless. Advertisement intervals are in centiseconds, as on the wire.
 */
package cobaltseam.vrrp;
