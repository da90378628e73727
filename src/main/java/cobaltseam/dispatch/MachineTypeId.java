package cobaltseam.dispatch;

/** Names one kind of machine. */
public record MachineTypeId(String value) {}
