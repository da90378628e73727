package cobaltseam.settings;

import cobaltseam.dispatch.TimeSpan;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the sections [membership], [agreement], [spread] and [repeats]. The last three require
 * [membership]. Each method returns null if its section is missing.
 */
final class FleetSections {
  private final SettingValues values;
  private final SettingErrors errors;

  FleetSections(SettingValues values, SettingErrors errors) {
    this.values = values;
    this.errors = errors;
  }

  Settings.MembershipSettings readMembership(JsonNode section) {
    if (section.isMissingNode()) {
      return null;
    }
    JsonNode schema = values.schemaOf("membership");
    InetSocketAddress listen = values.address("membership.listen", section.path("listen"));
    InetSocketAddress advertise =
        section.has("advertise")
            ? values.address("membership.advertise", section.path("advertise"))
            : listen;
    List<String> bootstrapMembers = new ArrayList<>();
    section.path("founders").forEach(name -> bootstrapMembers.add(name.asText()));
    return new Settings.MembershipSettings(
        section.path("fleet").asText(),
        listen,
        advertise,
        readSeeds(section.path("seeds")),
        List.copyOf(bootstrapMembers),
        SettingValues.timeOrDefault(section, schema, "period_ms"),
        SettingValues.valueOrDefault(section, schema, "patience").asDouble(),
        SettingValues.valueOrDefault(section, schema, "helpers").asInt(),
        section.has("folder") ? values.resolve(section.path("folder").asText()) : null,
        section.has("found_anew") ? section.path("found_anew").asText() : null,
        values.authentication("membership", section.path("seal")));
  }

  private List<InetSocketAddress> readSeeds(JsonNode seeds) {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (int i = 0; i < seeds.size(); i++) {
      InetSocketAddress address = values.address("membership.seeds[" + i + "]", seeds.path(i));
      if (address != null) {
        addresses.add(address);
      }
    }
    return List.copyOf(addresses);
  }

  Settings.AgreementSettings readAgreement(JsonNode section, JsonNode membership) {
    if (section.isMissingNode()) {
      return null;
    }
    if (membership.isMissingNode()) {
      errors.add(
          "agreement", section, "requires [membership]: views carry the agreed configuration.");
    }
    return new Settings.AgreementSettings(
        SettingValues.timeOrDefault(section, values.schemaOf("agreement"), "contradiction_ms"));
  }

  Settings.CapacitySettings readCapacity(
      JsonNode section, JsonNode membership, JsonNode agreement) {
    if (section.isMissingNode()) {
      return null;
    }
    if (membership.isMissingNode()) {
      errors.add(
          "spread",
          section,
          "requires [membership]: capacity is shared among the members of a view.");
    }
    if (section.has("lease_ms") && agreement.has("contradiction_ms")) {
      errors.add(
          "spread.lease_ms",
          section.path("lease_ms"),
          "agreement.contradiction_ms sets the lease duration; only one of the two is allowed.");
    }
    JsonNode schema = values.schemaOf("spread");
    TimeSpan gossipPeriod = SettingValues.timeOrDefault(section, schema, "round_ms");
    TimeSpan expiresAfter = SettingValues.timeOrDefault(section, schema, "unknown_after_ms");
    if (expiresAfter.compareTo(gossipPeriod) <= 0) {
      errors.add(
          "spread.unknown_after_ms",
          section.path("unknown_after_ms"),
          "must be longer than spread.round_ms.");
    }
    return new Settings.CapacitySettings(
        SettingValues.valueOrDefault(section, schema, "by").asText().equals("demand"),
        SettingValues.valueOrDefault(section, schema, "alone").asDouble(),
        SettingValues.valueOrDefault(section, schema, "floor").asDouble(),
        SettingValues.timeOrDefault(section, schema, "lease_ms"),
        SettingValues.timeOrDefault(section, schema, "window_ms"),
        gossipPeriod,
        expiresAfter,
        SettingValues.timeOrDefault(section, schema, "news_ms"),
        SettingValues.valueOrDefault(section, schema, "audit").asBoolean());
  }

  Settings.RetryBudgetSettings readRetryBudget(JsonNode section, JsonNode membership) {
    if (section.isMissingNode()) {
      return null;
    }
    if (membership.isMissingNode()) {
      errors.add(
          "repeats",
          section,
          "requires [membership]: members transfer unused budget to each other.");
    }
    JsonNode schema = values.schemaOf("repeats");
    TimeSpan window = SettingValues.timeOrDefault(section, schema, "window_ms");
    TimeSpan requestPeriod = SettingValues.timeOrDefault(section, schema, "round_ms");
    if (requestPeriod.compareTo(window) >= 0) {
      errors.add(
          "repeats.round_ms", section.path("round_ms"), "must be shorter than repeats.window_ms.");
    }
    return new Settings.RetryBudgetSettings(
        SettingValues.valueOrDefault(section, schema, "ratio").asDouble(),
        SettingValues.valueOrDefault(section, schema, "alone").asDouble(),
        window,
        requestPeriod);
  }
}
