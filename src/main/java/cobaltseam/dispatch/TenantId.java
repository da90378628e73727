package cobaltseam.dispatch;

/** Names one holder of a share of the service. */
public record TenantId(String value) {}
