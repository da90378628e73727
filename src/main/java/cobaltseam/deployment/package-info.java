/**
 * Reads the platform's description of a deployment: its request classes, machine types, tenants and
 * rules.
 *
 * <p>{@link cobaltseam.deployment.DeploymentReader} is the entry point, for the service and for the
 * simulator's adapter; it is the only class that maps the platform's field names to the names used
 * in this program. {@link cobaltseam.deployment.JsonObjectReader} reads single fields. Neither uses
 * threads or shared state. Invalid input is reported with an {@link
 * cobaltseam.deployment.InvalidInputException}. Fields whose name ends in {@code _us} are in
 * microseconds, in {@code _mb} in megabytes.
 */
package cobaltseam.deployment;
