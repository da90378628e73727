/**
 * The network service of one dispatcher, which accepts clients' statements and sends them to
 * engines.
 *
 * <p>{@link cobaltseam.service.DispatcherService} is the only entry point, and creates the other
 * components. {@code ClientSessions} answers the statements of clients, {@code RequestTable} holds
 * the open requests and carries out the decisions of the decision module ({@link
 * cobaltseam.dispatch.Dispatcher}), {@code EngineConnections} runs the attempts, and {@code
 * EndpointWatch} receives the changes of the endpoint list. {@code VirtualAddressService} and
 * {@code FleetService} are optional components that coordinate with other dispatchers.
 *
 * <p>Threads: the I/O thread ({@code SocketProcessor}) reads and writes; it posts the parsed
 * messages of clients and the unparsed input of engines and discovery to the event-loop thread
 * ({@code EventLoop}), which owns all other state. What peers can have it hold is bounded ({@code
 * ClientInput}, {@code ReadFlowControl}). The fleet runs on a thread of its own, and exchanges
 * immutable snapshots with the event loop. No step of a request blocks on another thread; {@code
 * docs/concurrency.md} lists which events may race.
 *
 * <p>Units: times are in microseconds, as {@link cobaltseam.dispatch.Timestamp} and {@link
 * cobaltseam.dispatch.TimeSpan}; sizes are in bytes.
 */
package cobaltseam.service;
