/**
 * The engine protocol: RESP arrays of bulk strings. The entry points are {@link
 * cobaltseam.resp.EngineCommands} for commands to engines, {@link cobaltseam.resp.RespParser} and
 * {@link cobaltseam.resp.EngineResponse} for their responses, and {@link cobaltseam.resp.Result}
 * for the pages of a result. A parser belongs to one connection, a result to one attempt; neither
 * is thread-safe. Sizes are in bytes.
 */
package cobaltseam.resp;
