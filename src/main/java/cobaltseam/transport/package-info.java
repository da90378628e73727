/**
 * Transport between dispatchers: datagram sockets, and the codecs for messages and persisted state.
 *
 * <p>Entry points: {@link cobaltseam.transport.PeerDatagramSocket} and {@link
 * cobaltseam.transport.MessageCodec} for messages between members, {@link
 * cobaltseam.transport.AdvertDatagramSocket} for mastership adverts, and {@link
 * cobaltseam.transport.PersistentStateCodec} for the state that a member persists.
 *
 * <p>Each socket has a reading thread of its own, and limits the bytes that it buffers. Sending
 * never blocks. The codecs are pure functions over bytes, except for the sequence number of signed
 * messages.
 */
package cobaltseam.transport;
