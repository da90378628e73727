/**
 * The client protocol: PostgreSQL's protocol 3.0, simple queries only. The entry points are {@link
 * cobaltseam.postgres.ClientParser} for what clients send, {@link cobaltseam.postgres.Replies} for
 * what they receive, and {@link cobaltseam.postgres.StatementScanner} for the comment that leads a
 * statement. Parsers belong to one session and are not thread-safe; sizes are in bytes.
 */
package cobaltseam.postgres;
