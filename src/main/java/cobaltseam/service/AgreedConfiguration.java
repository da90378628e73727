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
 * The settings of decisions as a document that the fleet agrees on: has {@link
 * ConfigurationAgreement} say which edition is acted on, reads that as a deployment, with this
 * dispatcher's own position in it, and moves the module to it.
 */
final class AgreedConfiguration {
  private static final System.Logger LOG = System.getLogger(AgreedConfiguration.class.getName());
  private static final String POSITION = "position";
  private static final double CLOCKS = 0.001;
  static final int LARGEST = 1 << 20;
  private static final ObjectMapper JSON =
      JsonMapper.builder().enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS).build();

  private final ConfigurationAgreement agreement;
  private final Counters counters;
  private final int position;

  /** By hash; bounded, as the agreement holds but few documents. */
  private final Map<String, Deployment> read = new HashMap<>();

  private Deployment own, acts, back;
  private String last = "none";

  AgreedConfiguration(
      Settings.AgreementSettings told,
      Membership membership,
      Lease lease,
      Deployment own,
      Counters counters,
      RandomGenerator chance) {
    this.counters = counters;
    this.own = own;
    // Nothing is agreed here yet: what the fleet acts on may differ from this dispatcher's own
    // file.
    back = ConservativeMerge.alone(own);
    acts = back;
    position = own.dispatcherIndex();
    agreement =
        new ConfigurationAgreement(
            new ConfigurationAgreement.AgreementOptions(told.contradiction(), CLOCKS, LARGEST),
            membership,
            lease,
            new ConfigurationAgreement.ConfigurationValidator() {
              @Override
              public String check(byte[] content) {
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
            },
            chance);
  }

  /**
   * The settings of a platform's configuration as a document: all but this dispatcher's position,
   * keys in order.
   */
  static byte[] document(byte[] configuration) {
    try {
      Map<?, ?> settings = (Map<?, ?>) JSON.readValue(configuration, Map.class).get("settings");
      Map<Object, Object> all = new HashMap<>(settings);
      all.remove(POSITION);
      return JSON.writeValueAsBytes(all);
    } catch (IOException | RuntimeException e) {
      throw new InvalidInputException(
          "no settings are read from the configuration: " + e.getMessage());
    }
  }

  private Deployment deployment(byte[] content) {
    String hash = ConfigurationAgreement.hash(content);
    Deployment known = read.get(hash);
    if (known != null) {
      return known;
    }
    try {
      Map<Object, Object> all =
          JSON.readValue(content, new TypeReference<HashMap<Object, Object>>() {});
      all.put(POSITION, position);
      try (JsonParser parser = new JsonFactory().createParser(JSON.writeValueAsBytes(all))) {
        Deployment d = DeploymentReader.read(JsonObjectReader.of(parser));
        if (read.size() > 16) {
          read.clear();
        }
        read.put(hash, d);
        return d;
      }
    } catch (IOException e) {
      throw new InvalidInputException("the document is not JSON of settings: " + e.getMessage());
    }
  }

  // ---- what is asked

  /** What the lasting folder held. */
  void knows(List<byte[]> documents) {
    documents.forEach(agreement::knows);
  }

  /** This dispatcher's own file: what a first edition is made of. */
  void own(byte[] document) {
    agreement.own(document);
  }

  /** SIGHUP: what the own file says now is proposed. */
  void propose(byte[] document, Timestamp now) {
    String why = agreement.propose(document, -1, now);
    if (why != null) {
      last = "not proposed: " + why;
      LOG.log(
          Level.WARNING,
          "the settings of the own file are not proposed: {0}",
          Field.of("reason", why),
          Field.event("agreement.not_proposed"));
    }
  }

  ConfigurationAgreement agreement() {
    return agreement;
  }

  /**
   * Until when the module may act on {@link #acts} if nothing more is heard; null if it may not.
   */
  Timestamp until(Timestamp now) {
    boolean may =
        agreement.acting().mode() != ActiveConfiguration.Mode.BACK
            && agreement.leaseLeft(now).isPositive();
    return may ? now.plus(agreement.leaseLeft(now)) : null;
  }

  /** What the module acts on once that time has passed. */
  Deployment back() {
    return back;
  }

  /** What the module acts on. */
  Deployment acts() {
    return acts;
  }

  // ---- what follows

  void on(ActiveConfiguration on) {
    ConfigurationVersion newest = on.newest();
    Deployment then = newest == null ? own : deployment(agreement.content(newest));
    back = ConservativeMerge.alone(then);
    then = on.mode() == ActiveConfiguration.Mode.BACK ? back : then;
    for (int i = on.versions().size() - 2; i >= 0; i--) {
      then = ConservativeMerge.between(deployment(agreement.content(on.versions().get(i))), then);
    }
    acts = then;
    counters.add(
        on.mode() == ActiveConfiguration.Mode.BACK
            ? Count.AGREEMENT_STEPPED_BACK
            : Count.AGREEMENT_MOVES);
    LOG.log(
        Level.INFO,
        "acts {0} on editions {1}",
        Field.of("mode", on.mode().label()),
        Field.of(
            "editions",
            on.versions().stream()
                .map(e -> e.number() + ":" + e.hash())
                .collect(Collectors.joining(" "))),
        Field.event("agreement.acts"));
  }

  void noted(AgreementEffect.EventRecorded noted) {
    last = noted.event().label() + ": " + noted.detail();
    LOG.log(
        Level.INFO,
        "{0}: {1}",
        Field.of("what", noted.event().label()),
        Field.of("detail", noted.detail()),
        Field.event("agreement." + noted.event().label()));
  }

  /** SHOW cobaltseam.agreement. */
  List<String[]> rows(Timestamp now) {
    List<String[]> rows = new ArrayList<>();
    ActiveConfiguration on = agreement.acting();
    rows.add(new String[] {"acts", on.mode().label() + " on " + on.versions()});
    rows.add(
        new String[] {
          "since_ms",
          agreement.actingSince() == null
              ? "never"
              : Long.toString(now.since(agreement.actingSince()).us() / 1000)
        });
    rows.add(new String[] {"lease_left_ms", Long.toString(agreement.leaseLeft(now).us() / 1000)});
    rows.add(new String[] {"held_by_all", Boolean.toString(agreement.isHeldByAll())});
    rows.add(new String[] {"last_proposal", last});
    rows.add(
        new String[] {
          "by",
          on.newest() == null
              ? "nobody"
              : on.newest().proposer().toString().toLowerCase(Locale.ROOT)
        });
    return rows;
  }
}
