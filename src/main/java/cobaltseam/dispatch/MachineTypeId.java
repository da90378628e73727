package cobaltseam.dispatch;

/** Identifies a machine type. */
public record MachineTypeId(String value) {}
