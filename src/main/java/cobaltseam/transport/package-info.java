/**
 * The datagrams between dispatchers: sockets, and the codec of messages and of persisted state.
 *
 * <p>Entry points: {@link cobaltseam.transport.PeerDatagramSocket} and {@link
 * cobaltseam.transport.MessageCodec} for messages between members, {@link
 * cobaltseam.transport.AdvertDatagramSocket} for mastership adverts, and {@link
 * cobaltseam.transport.PersistentStateCodec} for what a member persists.
 *
 * <p>Each socket has a reading thread of its own; what it buffers is bounded in bytes. Sending
 * never blocks. The codecs are pure functions over bytes, but for the sequence number of signed
 * messages.
 */
package cobaltseam.transport;
