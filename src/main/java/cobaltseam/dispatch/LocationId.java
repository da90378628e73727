package cobaltseam.dispatch;

/** Identifies a location of engines. */
public record LocationId(String value) {}
