/**
 * The engine protocol: RESP arrays of bulk strings. The entry points are {@link
 * cobaltseam.resp.EngineCommands} for what is sent, {@link cobaltseam.resp.RespParser} for what is
 * received, and {@link cobaltseam.resp.Result} for the pages of a result. Parsers and results
 * belong to one connection and are not thread-safe; sizes are in bytes.
 */
package cobaltseam.resp;
