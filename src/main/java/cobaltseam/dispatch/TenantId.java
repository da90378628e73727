package cobaltseam.dispatch;

/** Names one tenant, which may have a quota. */
public record TenantId(String value) {}
