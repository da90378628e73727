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
 * A file with one value, in a folder of its own, that is replaced atomically: a crash at any moment
 * leaves either the old or the new value. A new value is written to a temporary file, synced and
 * renamed over the old one, then the folder is synced. No older value is kept: the file stores
 * promises, for which an older value is worse than none, so a corrupt value is moved aside and
 * treated as absent. A lock file gives the folder to one process at a time. Not thread-safe.
 *
 * <p>Layout, big-endian: the bytes {@code CSWF}, a 4-byte format number, a 4-byte length of the
 * value, a 4-byte CRC32C (RFC 3720, appendix B.4) of the format number, the length and the value,
 * and the value.
 */
public final class AtomicFile implements AutoCloseable {
  private static final int MAGIC = 0x43535746;
  private static final int HEADER_BYTES = 16;

  /** The largest value that is written or read. */
  public static final int MAX_VALUE_BYTES = 1 << 24;

  private static final String LOCK_FILE_NAME = "lock";

  /** What was found in the folder. */
  public enum ReadStatus {
    /** There is no file. */
    ABSENT,
    /** There is a value. */
    VALUE,
    /** The file is corrupt, and was moved aside with the suffix {@code .broken}. */
    CORRUPT,
    /** The file has a newer format: it stays in place and must not be overwritten. */
    NEWER_FORMAT
  }

  /**
   * The result of reading.
   *
   * @param status what was found
   * @param value the value, or null if none was found
   */
  public record ReadResult(ReadStatus status, byte[] value) {}

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
   * Locks the folder, which is created if it is missing.
   *
   * @param format the format number that values are written with; higher ones are not read
   * @throws IOException if the folder can't be written, or another process has locked it
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

  /** Reads the value, after dropping an unfinished write. */
  public ReadResult read() throws IOException {
    Files.deleteIfExists(temporaryFile());
    if (!Files.exists(file)) {
      return new ReadResult(ReadStatus.ABSENT, null);
    }
    ReadResult result =
        Files.size(file) > MAX_VALUE_BYTES + HEADER_BYTES
            ? new ReadResult(ReadStatus.CORRUPT, null)
            : decode(Files.readAllBytes(file), format);
    if (result.status == ReadStatus.CORRUPT) {
      Files.move(
          file,
          folder.resolve(file.getFileName() + ".broken"),
          StandardCopyOption.REPLACE_EXISTING);
    }
    return result;
  }

  /** Decodes the bytes of a file, which may have this format number at most. */
  public static ReadResult decode(byte[] bytes, int format) {
    ByteBuffer in = ByteBuffer.wrap(bytes);
    if (bytes.length < HEADER_BYTES || in.getInt() != MAGIC) {
      return new ReadResult(ReadStatus.CORRUPT, null);
    }
    int storedFormat = in.getInt();
    int length = in.getInt();
    int storedChecksum = in.getInt();
    if (length != in.remaining()) {
      return new ReadResult(ReadStatus.CORRUPT, null);
    }
    byte[] value = new byte[length];
    in.get(value);
    if (storedChecksum != checksum(storedFormat, value)) {
      return new ReadResult(ReadStatus.CORRUPT, null);
    }
    return storedFormat > format
        ? new ReadResult(ReadStatus.NEWER_FORMAT, null)
        : new ReadResult(ReadStatus.VALUE, value);
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

  /**
   * Replaces the value, and returns once the new one is on disk.
   *
   * @throws IOException if it is too large or can't be written; the old value stays then
   */
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
