package cobaltseam.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Objects;
import java.util.zip.CRC32C;

/**
 * Stores one value in a file that is replaced atomically, in a folder of its own: a crash at any
 * moment leaves either the old or the new value. A new value is written to a temporary file, synced
 * and renamed over the old file, then the folder is synced. No older value is kept: the file stores
 * promises of a member, for which an older value is worse than none. A corrupt file is therefore
 * moved aside and treated as absent. A lock file restricts the folder to one process at a time. Not
 * thread-safe.
 *
 * <p>The file has these fields, big-endian: the bytes {@code CSWF}, a 4-byte format number, a
 * 4-byte length of the value, a 4-byte CRC32C (RFC 3720, appendix B.4) over the format number, the
 * length and the value, and the value.
 */
public final class AtomicFile implements AutoCloseable {
  private static final int MAGIC = 0x43535746;
  private static final int HEADER_BYTES = 16;

  /** The largest value that can be written or read, in bytes. */
  public static final int MAX_VALUE_BYTES = 1 << 24;

  private static final String LOCK_FILE_NAME = "lock";

  /** The outcome of reading the file. */
  public enum ReadStatus {
    /** The file does not exist. */
    ABSENT,
    /** The file has a value. */
    VALUE,
    /**
     * The file is corrupt; {@link AtomicFile#read} has renamed it with the suffix {@code .broken}
     * added.
     */
    CORRUPT,
    /** The file has a newer format; it stays in place and must not be overwritten. */
    NEWER_FORMAT
  }

  /**
   * The result of reading.
   *
   * @param status the outcome
   * @param value the value; null unless the status is {@code VALUE}
   */
  public record ReadResult(ReadStatus status, byte[] value) {}

  /** A folder was removed or replaced while it was in use, so that it is not locked any more. */
  public static final class LockLostException extends IOException {
    private static final long serialVersionUID = 1;

    private LockLostException(Path folder) {
      super("the folder " + folder + " was removed or replaced; restart to use it again");
    }
  }

  private final Path folder;
  private final Path file;
  private final int format;
  private final FileChannel lockFile;

  /** Identifies the lock file on its file system; null where that has no such keys. */
  private final Object lockFileKey;

  private AtomicFile(Path folder, String name, int format, FileChannel lockFile)
      throws IOException {
    this.folder = folder;
    this.file = folder.resolve(name);
    this.format = format;
    this.lockFile = lockFile;
    lockFileKey = readLockFileKey();
  }

  /**
   * Opens the file and locks its folder, which is created if it does not exist.
   *
   * @param name the name of the file in the folder
   * @param format the format number to write; files with a higher one are not read
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
      throw new IOException("the folder " + folder + " is locked by another process");
    }
    return new AtomicFile(folder, name, format, channel);
  }

  /** Reads the value, after deleting the temporary file of an unfinished write. */
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

  /**
   * Decodes the bytes of a file.
   *
   * @param format the highest format number that is accepted
   */
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

  private Object readLockFileKey() throws IOException {
    return Files.readAttributes(folder.resolve(LOCK_FILE_NAME), BasicFileAttributes.class)
        .fileKey();
  }

  /** Throws an exception if the folder at this path is not the one that was locked, or no more. */
  private void requireLock() throws IOException {
    Object presentKey;
    try {
      presentKey = readLockFileKey();
    } catch (NoSuchFileException e) {
      throw new LockLostException(folder);
    }
    if (!lockFile.isOpen() || !Objects.equals(presentKey, lockFileKey)) {
      throw new LockLostException(folder);
    }
  }

  private Path temporaryFile() {
    return folder.resolve(file.getFileName() + ".new");
  }

  /**
   * Replaces the value, and returns once the new value is on disk.
   *
   * @throws LockLostException if this process has no lock on the folder any more, so that another
   *     one may use it
   * @throws IOException if the value is too large or can't be written; the old value remains then
   */
  public void write(byte[] value) throws IOException {
    requireLock();
    if (value.length > MAX_VALUE_BYTES) {
      throw new IOException(
          "the value has " + value.length + " bytes, the limit is " + MAX_VALUE_BYTES);
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
      throw new IOException(
          "the file system does not support atomic renames: " + e.getMessage(), e);
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
