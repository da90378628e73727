/**
 * The client protocol: PostgreSQL's protocol 3.0, simple queries only. The entry points are {@link
 * cobaltseam.postgres.ClientParser} for messages from clients, {@link
 * cobaltseam.postgres.ServerMessageWriter} for messages to clients, and {@link
 * cobaltseam.postgres.StatementScanner} for statements and the fields in their leading comment. A
 * parser belongs to one session and is not thread-safe; sizes are in bytes.
 */
package cobaltseam.postgres;
