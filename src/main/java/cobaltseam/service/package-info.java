/**
 * The service: one dispatcher between its clients and the engines, on sockets.
 *
 * <p>{@link cobaltseam.service.DispatcherService} is the only entry point; it puts the parts
 * together. {@code ClientSessions} answers the statements of clients, {@code RequestTable} holds
 * the open requests and carries out what the decision module decides, {@code EngineConnections}
 * runs the attempts, and {@code EndpointWatch} follows the endpoint list. {@code
 * VirtualAddressService} and {@code FleetService} are optional parts that work with other
 * dispatchers.
 *
 * <p>Threads: the I/O thread ({@code SocketProcessor}) reads, parses and writes; it posts what it
 * has read to the event-loop thread ({@code EventLoop}), which owns all other state. The fleet has
 * a thread of its own, and exchanges immutable snapshots with the event loop. Nothing on the path
 * of a request waits for another thread; {@code docs/concurrency.md} lists which events may cross.
 *
 * <p>Units: time is in microseconds, as {@link cobaltseam.dispatch.Timestamp} and {@link
 * cobaltseam.dispatch.TimeSpan}; sizes are in bytes.
 */
package cobaltseam.service;
