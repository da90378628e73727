package cobaltseam.dispatch;

/** Names one type of machine. */
public record MachineTypeId(String value) {}
