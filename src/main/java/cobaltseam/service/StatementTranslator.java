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
 * Translates clients' statements into requests, with the request classes and tenants of a
 * deployment.
 */
final class StatementTranslator {
  private static final int US_PER_MS = 1000;

  private final Set<String> requestClasses = new HashSet<>();
  private final Set<String> tenants = new HashSet<>();

  StatementTranslator(Deployment deployment) {
    applySettings(deployment);
  }

  /** Replaces the request classes and tenants by those of another deployment. */
  void applySettings(Deployment deployment) {
    requestClasses.clear();
    tenants.clear();
    deployment
        .requestClasses()
        .forEach(requestClass -> requestClasses.add(requestClass.id().value()));
    deployment.quotas().forEach(quota -> tenants.add(quota.tenant().value()));
  }

  /** Returns why a statement's request class or tenant is rejected, or null if neither is. */
  String rejectionReason(Statement statement) {
    if (!requestClasses.contains(statement.requestClass())) {
      return "an unknown profile";
    }
    boolean isTenantUnknown = statement.tenant() != null && !tenants.contains(statement.tenant());
    return isTenantUnknown && !tenants.isEmpty() ? "an unknown holder of a share" : null;
  }

  /**
   * Returns the request of a statement that has no {@link #rejectionReason}.
   *
   * @param readAt when the statement was read completely; the request's deadline is this time plus
   *     the statement's time to live
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
