package cobaltseam.service;

import cobaltseam.logging.Field;
import cobaltseam.membership.PersistentState;
import cobaltseam.store.AtomicFile;
import cobaltseam.store.BackgroundWriter;
import cobaltseam.transport.PersistentStateCodec;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.function.LongConsumer;

/**
 * The folder in which a member persists its state. Without a folder, or with an unusable one,
 * membership runs without persistence, and {@link #unusableReason} gives the reason. Called on the
 * fleet's thread; a background thread writes the file.
 */
final class FleetStateFolder {
  private static final System.Logger LOG = System.getLogger(FleetStateFolder.class.getName());

  private final Path path;
  private final PersistentState loadedState;
  private final BackgroundWriter writer;
  private String unusableReason = "";

  /**
   * Opens the folder and reads the state in it.
   *
   * @param path the folder, or null for none
   * @param writtenListener called on the writer's thread with the number of a state that is on disk
   * @param failureListener called on the writer's thread with the reason why a state could not be
   *     written
   */
  FleetStateFolder(
      Path path, LongConsumer writtenListener, BackgroundWriter.FailureListener failureListener) {
    this.path = path;
    AtomicFile file = openFile();
    loadedState = file == null ? null : load(file);
    writer =
        unusableReason.isEmpty()
            ? new BackgroundWriter(file, writtenListener, failureListener)
            : null;
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
    if (writer != null) {
      writer.close();
    }
  }
}
