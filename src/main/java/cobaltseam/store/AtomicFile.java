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
  private static final int HEADER_BYTES = 16;

  /** A longer value is neither written nor read. */
  public static final int MAX_VALUE_BYTES = 1 << 24;

  private static final String LOCK_FILE_NAME = "lock";

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
        FileChannel.open(
            folder.resolve(LOCK_FILE_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
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
    Files.deleteIfExists(temporaryFile());
    if (!Files.exists(file)) {
      return new Reading(ReadStatus.NOTHING, null);
    }
    Reading result =
        Files.size(file) > MAX_VALUE_BYTES + HEADER_BYTES
            ? new Reading(ReadStatus.BROKEN, null)
            : decode(Files.readAllBytes(file), format);
    if (result.found == ReadStatus.BROKEN) {
      Files.move(
          file,
          folder.resolve(file.getFileName() + ".broken"),
          StandardCopyOption.REPLACE_EXISTING);
    }
    return result;
  }

  /** The same of the bytes of a file. */
  public static Reading decode(byte[] bytes, int format) {
    ByteBuffer in = ByteBuffer.wrap(bytes);
    if (bytes.length < HEADER_BYTES || in.getInt() != MAGIC) {
      return new Reading(ReadStatus.BROKEN, null);
    }
    int storedFormat = in.getInt();
    int length = in.getInt();
    int storedChecksum = in.getInt();
    if (length != in.remaining()) {
      return new Reading(ReadStatus.BROKEN, null);
    }
    byte[] value = new byte[length];
    in.get(value);
    if (storedChecksum != checksum(storedFormat, value)) {
      return new Reading(ReadStatus.BROKEN, null);
    }
    return storedFormat > format
        ? new Reading(ReadStatus.LATER, null)
        : new Reading(ReadStatus.VALUE, value);
  }

  private static int checksum(int format, byte[] value) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(8).putInt(format).putInt(value.length).flip());
    crc.update(value);
    return (int) crc.getValue();
  }

  private Path temporaryFile() {
    return folder.resolve(file.getFileName() + ".new");
  }

  /** Returns once the value is on disk, in place of the one before. */
  public void write(byte[] value) throws IOException {
    if (value.length > MAX_VALUE_BYTES) {
      throw new IOException(value.length + " bytes are more than " + MAX_VALUE_BYTES);
    }
    ByteBuffer buffer =
        ByteBuffer.allocate(HEADER_BYTES + value.length)
            .putInt(MAGIC)
            .putInt(format)
            .putInt(value.length)
            .putInt(checksum(format, value))
            .put(value)
            .flip();
    try (FileChannel out =
        FileChannel.open(
            temporaryFile(),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      while (buffer.hasRemaining()) {
        out.write(buffer);
      }
      out.force(true);
    }
    try {
      Files.move(
          temporaryFile(),
          file,
          StandardCopyOption.ATOMIC_MOVE,
          StandardCopyOption.REPLACE_EXISTING);
    } catch (AtomicMoveNotSupportedException e) {
      throw new IOException("this file system can't rename in one step: " + e.getMessage(), e);
    }
    try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
      directory.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    lockFile.close();
  }
}
