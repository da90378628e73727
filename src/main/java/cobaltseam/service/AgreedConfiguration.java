package cobaltseam.service;

import cobaltseam.agreement.ActiveConfiguration;
import cobaltseam.agreement.AgreementEffect;
import cobaltseam.agreement.ConfigurationAgreement;
import cobaltseam.agreement.ConservativeMerge;
import cobaltseam.deployment.DeploymentReader;
import cobaltseam.deployment.InvalidInputException;
import cobaltseam.deployment.JsonObjectReader;
import cobaltseam.dispatch.Deployment;
import cobaltseam.dispatch.Timestamp;
import cobaltseam.logging.Field;
import cobaltseam.membership.ConfigurationVersion;
import cobaltseam.membership.Lease;
import cobaltseam.membership.Membership;
import cobaltseam.service.Counters.Count;
import cobaltseam.settings.Settings;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * The dispatch settings as a document that the fleet agrees on. {@link ConfigurationAgreement}
 * determines which version is active; this class parses it as a deployment, with the position of
 * this dispatcher in it, and derives the active settings. Used by the fleet's thread alone, except
 * {@link #document}.
 */
final class AgreedConfiguration {
  private static final System.Logger LOG = System.getLogger(AgreedConfiguration.class.getName());
  private static final String POSITION = "position";
  private static final double MAX_CLOCK_RATE_RATIO = 0.001;
  private static final int MAX_DOCUMENT_BYTES = 1 << 20;
  private static final int MAX_CACHED_DEPLOYMENTS = 16;
  private static final int US_PER_MS = 1000;
  private static final ObjectMapper JSON =
      JsonMapper.builder().enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS).build();

  private final ConfigurationAgreement agreement;
  private final Counters counters;
  private final int position;

  /**
   * The deployments parsed from documents, by the hash of the document; cleared when there are too
   * many.
   */
  private final Map<String, Deployment> deploymentsByHash = new HashMap<>();

  private final Deployment own;
  private Deployment active;
  private Deployment conservative;
  private String lastProposal = "none";

  /**
   * @param own the dispatch settings from the configuration file of this dispatcher
   */
  AgreedConfiguration(
      Settings.AgreementSettings settings,
      Membership membership,
      Lease lease,
      Deployment own,
      Counters counters,
      RandomGenerator random) {
    this.counters = counters;
    this.own = own;
    // No settings are agreed yet, and those of the fleet may differ from this dispatcher's file.
    conservative = ConservativeMerge.withoutRetries(own);
    active = conservative;
    position = own.dispatcherIndex();
    agreement =
        new ConfigurationAgreement(
            new ConfigurationAgreement.AgreementOptions(
                settings.maxContradiction(), MAX_CLOCK_RATE_RATIO, MAX_DOCUMENT_BYTES),
            membership,
            lease,
            new DeploymentValidator(),
            random);
  }

  private final class DeploymentValidator implements ConfigurationAgreement.ConfigurationValidator {
    @Override
    public String rejectionReason(byte[] content) {
      try {
        deployment(content);
        return null;
      } catch (InvalidInputException e) {
        return e.getMessage();
      }
    }

    @Override
    public boolean contradict(byte[] one, byte[] other) {
      return ConservativeMerge.contradict(deployment(one), deployment(other));
    }
  }

  /**
   * Returns the dispatch settings of a configuration file as a document: all of them except the
   * position of this dispatcher, with sorted keys, so that equal settings have equal bytes.
   *
   * @throws InvalidInputException if the configuration is not JSON or has no settings
   */
  static byte[] document(byte[] configuration) {
    try {
      Map<?, ?> settings = (Map<?, ?>) JSON.readValue(configuration, Map.class).get("settings");
      Map<Object, Object> shared = new HashMap<>(settings);
      shared.remove(POSITION);
      return JSON.writeValueAsBytes(shared);
    } catch (IOException | RuntimeException e) {
      throw new InvalidInputException(
          "cannot read dispatch settings from the configuration: " + e.getMessage());
    }
  }

  /**
   * Parses a document as a deployment with the position of this dispatcher.
   *
   * @throws InvalidInputException if the document is not JSON or its settings are invalid
   */
  private Deployment deployment(byte[] content) {
    String hash = ConfigurationAgreement.hash(content);
    Deployment cached = deploymentsByHash.get(hash);
    if (cached != null) {
      return cached;
    }
    try {
      Map<Object, Object> settings =
          JSON.readValue(content, new TypeReference<HashMap<Object, Object>>() {});
      settings.put(POSITION, position);
      try (JsonParser parser = new JsonFactory().createParser(JSON.writeValueAsBytes(settings))) {
        Deployment deployment = DeploymentReader.read(JsonObjectReader.of(parser));
        if (deploymentsByHash.size() > MAX_CACHED_DEPLOYMENTS) {
          deploymentsByHash.clear();
        }
        deploymentsByHash.put(hash, deployment);
        return deployment;
      }
    } catch (IOException e) {
      throw new InvalidInputException("the settings document is not valid JSON: " + e.getMessage());
    }
  }

  // ---- proposals and documents

  /** Adds the documents that were read from the state folder at the start. */
  void addPersisted(List<byte[]> documents) {
    documents.forEach(agreement::addPersistedDocument);
  }

  /** Sets the document from which the first version is made if the view has no version yet. */
  void setOwn(byte[] document) {
    agreement.setOwnDocument(document);
  }

  /** Proposes a document to the fleet; a rejection is logged and shown as the last proposal. */
  void propose(byte[] document, Timestamp now) {
    String rejection = agreement.propose(document, -1, now);
    if (rejection != null) {
      lastProposal = "not proposed: " + rejection;
      LOG.log(
          Level.WARNING,
          "dispatch settings from the configuration file were not proposed to the fleet: {0}",
          Field.of("reason", rejection),
          Field.event("agreement.not_proposed"));
    }
  }

  // ---- state

  ConfigurationAgreement agreement() {
    return agreement;
  }

  /**
   * Until when {@link #active} may be used if no further message arrives; null if only {@link
   * #conservative} may be used.
   */
  Timestamp activeUntil(Timestamp now) {
    boolean mayUseActive =
        agreement.activeConfiguration().mode() != ActiveConfiguration.Mode.FALLBACK
            && agreement.leaseLeft(now).isPositive();
    return mayUseActive ? now.plus(agreement.leaseLeft(now)) : null;
  }

  /** The settings to use once {@link #activeUntil} has passed. */
  Deployment conservative() {
    return conservative;
  }

  /** The active settings. */
  Deployment active() {
    return active;
  }

  // ---- effects of the agreement

  /** Derives the active settings from the versions that are active now. */
  void activate(ActiveConfiguration configuration) {
    ConfigurationVersion newest = configuration.newest();
    Deployment newestSettings = newest == null ? own : deployment(agreement.content(newest));
    conservative = ConservativeMerge.withoutRetries(newestSettings);
    boolean isConservative = configuration.mode() == ActiveConfiguration.Mode.FALLBACK;
    Deployment merged = isConservative ? conservative : newestSettings;
    List<ConfigurationVersion> versions = configuration.versions();
    for (int i = versions.size() - 2; i >= 0; i--) {
      merged = ConservativeMerge.merge(deployment(agreement.content(versions.get(i))), merged);
    }
    active = merged;
    counters.add(isConservative ? Count.AGREEMENT_STEPPED_BACK : Count.AGREEMENT_MOVES);
    LOG.log(
        Level.INFO,
        "the active dispatch settings changed: mode {0}, versions {1}",
        Field.of("mode", configuration.mode().label()),
        Field.of(
            "editions",
            versions.stream()
                .map(version -> version.number() + ":" + version.hash())
                .collect(Collectors.joining(" "))),
        Field.event("agreement.acts"));
  }

  /** Logs an event of the agreement and shows it as the last proposal. */
  void recordEvent(AgreementEffect.EventRecorded recorded) {
    lastProposal = recorded.event().label() + ": " + recorded.detail();
    LOG.log(
        Level.INFO,
        "event {0} in the agreement on dispatch settings: {1}",
        Field.of("what", recorded.event().label()),
        Field.of("detail", recorded.detail()),
        Field.event("agreement." + recorded.event().label()));
  }

  /** The rows of SHOW cobaltseam.agreement. */
  List<String[]> rows(Timestamp now) {
    ActiveConfiguration configuration = agreement.activeConfiguration();
    List<String[]> rows = new ArrayList<>();
    rows.add(row("acts", configuration.mode().label() + " on " + configuration.versions()));
    rows.add(
        row(
            "since_ms",
            agreement.activeSince() == null
                ? "never"
                : Long.toString(now.since(agreement.activeSince()).us() / US_PER_MS)));
    rows.add(row("lease_left_ms", Long.toString(agreement.leaseLeft(now).us() / US_PER_MS)));
    rows.add(row("held_by_all", Boolean.toString(agreement.isInstalledByAll())));
    rows.add(row("last_proposal", lastProposal));
    rows.add(
        row(
            "by",
            configuration.newest() == null
                ? "nobody"
                : configuration.newest().proposer().toString().toLowerCase(Locale.ROOT)));
    return rows;
  }

  private static String[] row(String name, String value) {
    return new String[] {name, value};
  }
}
