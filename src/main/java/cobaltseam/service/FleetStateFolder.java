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
 * The folder in which a member persists its state. Without one, or with one that can't be used,
 * membership runs without persistence, and {@link #unusableReason} says why. The fleet's thread
 * uses it; a background thread writes the file.
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
   * @param path null for none
   * @param written called on the writer's thread with the number of a state that is on disk
   * @param failed called on the writer's thread with the reason why a state could not be written
   */
  FleetStateFolder(Path path, LongConsumer written, BackgroundWriter.FailureListener failed) {
    this.path = path;
    AtomicFile file = openFile();
    loadedState = file == null ? null : load(file);
    writer = unusableReason.isEmpty() ? new BackgroundWriter(file, written, failed) : null;
  }

  private AtomicFile openFile() {
    if (path == null) {
      unusableReason = "none";
      return null;
    }
    try {
      return AtomicFile.open(path, PersistentStateCodec.FILE_NAME, PersistentStateCodec.FORMAT);
    } catch (IOException e) {
      continueWithout(String.valueOf(e.getMessage()));
      return null;
    }
  }

  private PersistentState load(AtomicFile file) {
    try {
      AtomicFile.ReadResult reading = file.read();
      PersistentState state =
          reading.value() == null ? null : PersistentStateCodec.read(reading.value()).orElse(null);
      boolean isUndecodable = reading.value() != null && state == null;
      if (reading.status() == AtomicFile.ReadStatus.NEWER_FORMAT) {
        continueWithout("written by a later program; it is left as it is");
      } else if (reading.status() == AtomicFile.ReadStatus.CORRUPT || isUndecodable) {
        LOG.log(
            Level.WARNING,
            "the state in folder {0} is corrupt: this process joins as a new member",
            Field.of("folder", path),
            Field.event("membership.folder_broken"));
      }
      return state;
    } catch (IOException e) {
      continueWithout(String.valueOf(e.getMessage()));
      return null;
    }
  }

  private void continueWithout(String reason) {
    unusableReason = reason;
    LOG.log(
        Level.WARNING,
        "membership runs without the folder {0}: {1}",
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

  /** The folder of the settings, or null. */
  Path path() {
    return path;
  }

  /** The state that was read at the start, or null. */
  PersistentState loadedState() {
    return loadedState;
  }

  /** Writes a state in the background, in place of any that still waits to be written. */
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
