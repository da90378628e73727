package cobaltseam.settings;

import cobaltseam.dispatch.TimeSpan;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the sections [membership], [agreement], [spread] and [repeats]; the last three need the
 * first one. A section that is missing is null.
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
      errors.add("agreement", section, "it needs [membership]: views carry what is agreed.");
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
          "spread", section, "it needs [membership]: parts are those of the members of a view.");
    }
    if (section.has("lease_ms") && agreement.has("contradiction_ms")) {
      errors.add(
          "spread.lease_ms",
          section.path("lease_ms"),
          "agreement.contradiction_ms says for how long a lease lasts; one of the two is allowed.");
    }
    JsonNode schema = values.schemaOf("spread");
    TimeSpan round = SettingValues.timeOrDefault(section, schema, "round_ms");
    TimeSpan end = SettingValues.timeOrDefault(section, schema, "unknown_after_ms");
    if (end.compareTo(round) <= 0) {
      errors.add(
          "spread.unknown_after_ms",
          section.path("unknown_after_ms"),
          "it must be longer than spread.round_ms.");
    }
    return new Settings.CapacitySettings(
        SettingValues.valueOrDefault(section, schema, "by").asText().equals("demand"),
        SettingValues.valueOrDefault(section, schema, "alone").asDouble(),
        SettingValues.valueOrDefault(section, schema, "floor").asDouble(),
        SettingValues.timeOrDefault(section, schema, "lease_ms"),
        SettingValues.timeOrDefault(section, schema, "window_ms"),
        round,
        end,
        SettingValues.timeOrDefault(section, schema, "news_ms"),
        SettingValues.valueOrDefault(section, schema, "audit").asBoolean());
  }

  Settings.RetryBudgetSettings readRetryBudget(JsonNode section, JsonNode membership) {
    if (section.isMissingNode()) {
      return null;
    }
    if (membership.isMissingNode()) {
      errors.add(
          "repeats", section, "it needs [membership]: what is left is moved between members.");
    }
    JsonNode schema = values.schemaOf("repeats");
    TimeSpan window = SettingValues.timeOrDefault(section, schema, "window_ms");
    TimeSpan round = SettingValues.timeOrDefault(section, schema, "round_ms");
    if (round.compareTo(window) >= 0) {
      errors.add(
          "repeats.round_ms",
          section.path("round_ms"),
          "it must be shorter than repeats.window_ms.");
    }
    return new Settings.RetryBudgetSettings(
        SettingValues.valueOrDefault(section, schema, "ratio").asDouble(),
        SettingValues.valueOrDefault(section, schema, "alone").asDouble(),
        window,
        round);
  }
}
