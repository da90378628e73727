package cobaltseam.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/**
 * One value in a folder of its own, such that a crash at any moment leaves the old or the new one
 * whole: it is written aside, synced, renamed over the old one, and the folder synced. There is one
 * generation only: for promises an older value is worse than none, so one that is not whole is set
 * aside and counts as none. One process at a time has the folder.
 *
 * <p>Layout, big-endian: the bytes {@code CSWF}, a 4-byte format number, a 4-byte length of the
 * value, a 4-byte CRC32C (RFC 3720, appendix B.4) of the format number, the length and the value,
 * and the value.
 */
public final class AtomicFile implements AutoCloseable {
  private static final int MAGIC = 0x43535746;
  private static final int HEAD = 16;

  /** A longer value is neither written nor read. */
  public static final int LARGEST = 1 << 24;

  private static final String LOCK = "lock";

  /** What a folder held. */
  public enum ReadStatus {
    NOTHING,
    VALUE,
    /** Not whole: set aside under {@code .broken}. */
    BROKEN,
    /** Of a later program: left in place, and nothing may be written over it. */
    LATER
  }

  /**
   * @param value null unless found
   */
  public record Reading(ReadStatus found, byte[] value) {}

  private final Path folder;
  private final Path file;
  private final int format;
  private final FileChannel lockFile;

  private AtomicFile(Path folder, String name, int format, FileChannel lockFile) {
    this.folder = folder;
    this.file = folder.resolve(name);
    this.format = format;
    this.lockFile = lockFile;
  }

  /**
   * Takes the folder, which is made where it is missing.
   *
   * @throws IOException if it can't be written, or another process has it
   */
  public static AtomicFile open(Path folder, String name, int format) throws IOException {
    Files.createDirectories(folder);
    FileChannel channel =
        FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock;
    try {
      lock = channel.tryLock();
    } catch (OverlappingFileLockException e) {
      lock = null;
    }
    if (lock == null) {
      channel.close();
      throw new IOException("another process has the folder " + folder);
    }
    return new AtomicFile(folder, name, format, channel);
  }

  /** What is there. */
  public Reading read() throws IOException {
    Files.deleteIfExists(aside());
    if (!Files.exists(file)) {
      return new Reading(ReadStatus.NOTHING, null);
    }
    Reading reading =
        Files.size(file) > LARGEST + HEAD
            ? new Reading(ReadStatus.BROKEN, null)
            : parse(Files.readAllBytes(file), format);
    if (reading.found == ReadStatus.BROKEN) {
      Files.move(
          file,
          folder.resolve(file.getFileName() + ".broken"),
          StandardCopyOption.REPLACE_EXISTING);
    }
    return reading;
  }

  /** The same of the bytes of a file. */
  public static Reading parse(byte[] bytes, int format) {
    ByteBuffer in = ByteBuffer.wrap(bytes);
    if (bytes.length < HEAD || in.getInt() != MAGIC) {
      return new Reading(ReadStatus.BROKEN, null);
    }
    int of = in.getInt();
    int length = in.getInt();
    int sum = in.getInt();
    if (length != in.remaining()) {
      return new Reading(ReadStatus.BROKEN, null);
    }
    byte[] value = new byte[length];
    in.get(value);
    if (sum != sum(of, value)) {
      return new Reading(ReadStatus.BROKEN, null);
    }
    return of > format ? new Reading(ReadStatus.LATER, null) : new Reading(ReadStatus.VALUE, value);
  }

  private static int sum(int format, byte[] value) {
    CRC32C sum = new CRC32C();
    sum.update(ByteBuffer.allocate(8).putInt(format).putInt(value.length).flip());
    sum.update(value);
    return (int) sum.getValue();
  }

  private Path aside() {
    return folder.resolve(file.getFileName() + ".new");
  }

  /** Returns once the value is on disk, in place of the one before. */
  public void write(byte[] value) throws IOException {
    if (value.length > LARGEST) {
      throw new IOException(value.length + " bytes are more than " + LARGEST);
    }
    ByteBuffer whole =
        ByteBuffer.allocate(HEAD + value.length)
            .putInt(MAGIC)
            .putInt(format)
            .putInt(value.length)
            .putInt(sum(format, value))
            .put(value)
            .flip();
    try (FileChannel out =
        FileChannel.open(
            aside(),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      while (whole.hasRemaining()) {
        out.write(whole);
      }
      out.force(true);
    }
    try {
      Files.move(
          aside(), file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (AtomicMoveNotSupportedException e) {
      throw new IOException("this file system can't rename in one step: " + e.getMessage(), e);
    }
    try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
      names.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    lockFile.close();
  }
}
