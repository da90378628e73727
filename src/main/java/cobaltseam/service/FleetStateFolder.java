package cobaltseam.service;

import cobaltseam.logging.Field;
import cobaltseam.membership.PersistentState;
import cobaltseam.store.AtomicFile;
import cobaltseam.store.BackgroundWriter;
import cobaltseam.transport.PersistentStateCodec;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Path;

/**
 * The folder in which a member persists its state. Without a folder, or with an unusable one,
 * membership runs without persistence, and {@link #unusableReason} gives the reason. A write that
 * fails is repeated by {@link BackgroundWriter}. Called on the fleet's thread; a background thread
 * writes the file.
 */
final class FleetStateFolder {
  private static final System.Logger LOG = System.getLogger(FleetStateFolder.class.getName());

  /** Receives the outcomes of writes, on the writer's thread. */
  interface Listener {
    /** Called when the state with this number, and all before it, are on disk. */
    void onStateWritten(long number);

    /**
     * Called when no state could be written for {@link BackgroundWriter#OUTAGE}, or none ever can.
     */
    void onOutage(String reason);
  }

  private final Path path;
  private final Counters counters;
  private final PersistentState loadedState;
  private final BackgroundWriter writer;
  private String unusableReason = "";

  /** Why the last write failed; empty if it succeeded. */
  private volatile String writeError = "";

  /**
   * Opens the folder and reads the state in it.
   *
   * @param path the folder, or null for none
   */
  FleetStateFolder(Path path, Counters counters, Listener listener) {
    this.path = path;
    this.counters = counters;
    AtomicFile file = openFile();
    loadedState = file == null ? null : load(file);
    writer =
        unusableReason.isEmpty() ? new BackgroundWriter(file, new WriteListener(listener)) : null;
  }

  /** Logs and counts failed writes, and passes on what concerns membership. */
  private final class WriteListener implements BackgroundWriter.Listener {
    private final Listener listener;

    private WriteListener(Listener listener) {
      this.listener = listener;
    }

    @Override
    public void onWritten(long number) {
      if (!writeError.isEmpty()) {
        writeError = "";
        LOG.log(
            Level.INFO,
            "the state folder {0} can be written again",
            Field.of("folder", path),
            Field.event("membership.folder_writable"));
      }
      listener.onStateWritten(number);
    }

    @Override
    public void onFailure(String reason, boolean isFirst) {
      counters.add(Counters.Count.MEMBERSHIP_WRITES_FAILED);
      writeError = reason;
      if (isFirst) {
        LOG.log(
            Level.WARNING,
            "the state folder {0} can''t be written, which is repeated: {1}; this member takes no"
                + " part in decisions of the fleet until then: free space or mend the disk",
            Field.of("folder", path),
            Field.of("reason", reason),
            Field.event("membership.folder_unwritable"));
      }
    }

    @Override
    public void onOutage(String reason) {
      writeError = reason;
      listener.onOutage(reason);
    }
  }

  private AtomicFile openFile() {
    if (path == null) {
      unusableReason = "none";
      return null;
    }
    try {
      return AtomicFile.open(path, PersistentStateCodec.FILE_NAME, PersistentStateCodec.FORMAT);
    } catch (IOException e) {
      disable(String.valueOf(e.getMessage()));
      return null;
    }
  }

  /** Reads the state; null if there is none or it cannot be used. */
  private PersistentState load(AtomicFile file) {
    try {
      AtomicFile.ReadResult result = file.read();
      PersistentState state =
          result.value() == null ? null : PersistentStateCodec.read(result.value()).orElse(null);
      boolean isUndecodable = result.value() != null && state == null;
      if (result.status() == AtomicFile.ReadStatus.NEWER_FORMAT) {
        disable("written by a later program; it is left as it is");
      } else if (result.status() == AtomicFile.ReadStatus.CORRUPT || isUndecodable) {
        LOG.log(
            Level.WARNING,
            "the persisted state in folder {0} is corrupt and is not used: this process joins the"
                + " fleet as a new member",
            Field.of("folder", path),
            Field.event("membership.folder_broken"));
      }
      return state;
    } catch (IOException e) {
      disable(String.valueOf(e.getMessage()));
      return null;
    }
  }

  private void disable(String reason) {
    unusableReason = reason;
    LOG.log(
        Level.WARNING,
        "membership runs without its state folder {0}: {1}; correct this and restart to persist"
            + " state",
        Field.of("folder", path),
        Field.of("reason", reason),
        Field.event("membership.folder_refused"));
  }

  /** Whether state can be persisted. */
  boolean isUsable() {
    return writer != null;
  }

  /** Why state can't be persisted; empty if it can. */
  String unusableReason() {
    return unusableReason;
  }

  /** Why the last write of a state failed; empty if it succeeded. */
  String writeError() {
    return writeError;
  }

  /** The folder that the settings name, or null. */
  Path path() {
    return path;
  }

  /** The state that was read at the start, or null if there was none. */
  PersistentState loadedState() {
    return loadedState;
  }

  /**
   * Writes a state in the background. It replaces an earlier state that has not been written yet.
   */
  void write(long number, PersistentState state) {
    writer.submit(number, () -> PersistentStateCodec.write(state));
  }

  /** Stops the writer, if there is one. */
  void close() {
    if (writer == null) {
      return;
    }
    try {
      writer.close();
    } catch (IOException e) {
      LOG.log(
          Level.WARNING,
          "can''t close the state folder {0}: {1}",
          Field.of("folder", path),
          Field.of("reason", e.getMessage()),
          Field.event("membership.folder_unclosed"));
    }
  }
}
