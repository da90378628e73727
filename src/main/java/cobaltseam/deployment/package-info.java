/**
 * Reads what the platform says about a deployment: its request classes, machine types, tenants and
 * rules.
 *
 * <p>{@link cobaltseam.deployment.DeploymentReader} is the entry point, for the service and for the
 * simulator's adapter; it is the one place that maps the platform's field names to our own. {@link
 * cobaltseam.deployment.JsonObjectReader} reads single fields. Both are pure functions without
 * threads. Input that can't be used is reported with an {@link
 * cobaltseam.deployment.InvalidInputException}. Fields whose name ends in {@code _us} are in
 * microseconds, in {@code _mb} in megabytes.
 */
package cobaltseam.deployment;
