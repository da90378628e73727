package cobaltseam.dispatch;

/** Names one location of engines. */
public record LocationId(String value) {}
