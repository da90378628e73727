package cobaltseam.service;

import cobaltseam.dispatch.DataSetId;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.Request;
import cobaltseam.dispatch.RequestClassId;
import cobaltseam.dispatch.RequestId;
import cobaltseam.dispatch.TenantId;
import cobaltseam.dispatch.TimeSpan;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.postgres.Statement;
import java.util.HashSet;
import java.util.Set;

/**
 * Turns a client's statement into a request, by the request classes and tenants of a deployment.
 */
final class StatementTranslator {
  private static final int US_PER_MS = 1000;

  private final Set<String> requestClasses = new HashSet<>();
  private final Set<String> tenants = new HashSet<>();

  StatementTranslator(Deployment deployment) {
    applySettings(deployment);
  }

  /** From now on the request classes and tenants of this deployment are known, and no others. */
  void applySettings(Deployment deployment) {
    requestClasses.clear();
    tenants.clear();
    deployment.requestClasses().forEach(known -> requestClasses.add(known.id().value()));
    deployment.quotas().forEach(quota -> tenants.add(quota.tenant().value()));
  }

  /** Why a statement names no known request class or tenant, or null if it does. */
  String rejectionReason(Statement statement) {
    if (!requestClasses.contains(statement.requestClass())) {
      return "an unknown profile";
    }
    boolean isTenantUnknown = statement.tenant() != null && !tenants.contains(statement.tenant());
    return isTenantUnknown && !tenants.isEmpty() ? "an unknown holder of a share" : null;
  }

  /**
   * The request of a statement that can be used.
   *
   * @param readAt when the statement was read completely; its deadline is counted from there
   */
  Request toRequest(Statement statement, Timestamp readAt) {
    boolean hasTenant = statement.tenant() != null && tenants.contains(statement.tenant());
    return new Request(
        new RequestId(statement.callId()),
        new RequestClassId(statement.requestClass()),
        hasTenant ? new TenantId(statement.tenant()) : null,
        null,
        readAt.plus(new TimeSpan(statement.timeToLiveMs() * US_PER_MS)),
        new TimeSpan(Math.round(statement.workMs() * US_PER_MS)),
        statement.dataSetId() < 0 ? null : new DataSetId(statement.dataSetId()),
        statement.memoryMb());
  }
}
