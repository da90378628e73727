package cobaltseam.dispatch;

/** Identifies a tenant, which may have a quota. */
public record TenantId(String value) {}
