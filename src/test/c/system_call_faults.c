/*
 * Makes system calls of one process fail as Linux documents it, or steps the wall clock that the
 * process reads. Preloaded into dispatcher processes by the tests (SystemCallFaults.java), which
 * control it through a shared file of 64-bit integers:
 *
 *   slot 0            offset of CLOCK_REALTIME in nanoseconds
 *   slot 1 + 2 * k    for call k: 0 for no faults, N for a fault in one of N calls by chance
 *   slot 2 + 2 * k    for call k: the errno, or -1 for a transfer of one byte only
 *
 * Environment: CALL_FAULTS_CONTROL names the file, CALL_FAULTS_LOG a file that receives a line for
 * each fault, CALL_FAULTS_SEED the seed, and CALL_FAULTS_FOLDER the folder whose files may fail.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call {
  CALL_ACCEPT,
  CALL_SOCKET,
  CALL_CONNECT,
  CALL_CONNECT_RESULT,
  CALL_WAIT,
  CALL_READ,
  CALL_WRITE,
  CALL_SEND_DATAGRAM,
  CALL_FILE_OPEN,
  CALL_FILE_WRITE,
  CALL_FILE_SYNC,
  CALL_FILE_RENAME,
  CALL_FILE_READ,
  CALL_COUNT
};

enum { SLOTS = 1 + 2 * CALL_COUNT, MAX_DESCRIPTORS = 4096, ONE_BYTE = -1, NO_FAULT = 0 };

static const char *const CALL_NAMES[CALL_COUNT] = {
    "accept",        "socket",    "connect",    "connect-result", "wait",
    "read",          "write",     "sendto",     "file-open",      "file-write",
    "file-sync",     "file-rename", "file-read"};

static volatile int64_t no_control[SLOTS];
static volatile int64_t *control = no_control;
static volatile uint64_t random_state = 1;
static int log_descriptor = -1;
static const char *folder;
/* Whether each descriptor belongs to a file in the folder. */
static volatile unsigned char in_folder[MAX_DESCRIPTORS];

/* Declares next, the function of the C library that this one replaces. */
#define NEXT(function)                  \
  static __typeof__(function) *next;    \
  if (next == NULL) next = (__typeof__(function) *)dlsym(RTLD_NEXT, #function)

__attribute__((constructor)) static void initialize(void) {
  const char *seed = getenv("CALL_FAULTS_SEED");
  const char *path = getenv("CALL_FAULTS_CONTROL");
  const char *log_path = getenv("CALL_FAULTS_LOG");
  folder = getenv("CALL_FAULTS_FOLDER");
  random_state = seed == NULL ? 1 : strtoull(seed, NULL, 10) * 2 + 1;
  int descriptor = path == NULL ? -1 : (int)syscall(SYS_openat, AT_FDCWD, path, O_RDWR, 0);
  if (descriptor >= 0) {
    void *mapped = mmap(NULL, SLOTS * sizeof(int64_t), PROT_READ, MAP_SHARED, descriptor, 0);
    if (mapped != MAP_FAILED) control = mapped;
    syscall(SYS_close, descriptor);
  }
  if (log_path != NULL) {
    log_descriptor =
        (int)syscall(SYS_openat, AT_FDCWD, log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
  }
}

/* Returns the next number of a xorshift generator; thread-safe. */
static uint64_t next_random(void) {
  uint64_t old, next;
  do {
    old = random_state;
    next = old;
    next ^= next << 13;
    next ^= next >> 7;
    next ^= next << 17;
  } while (!__sync_bool_compare_and_swap(&random_state, old, next));
  return next;
}

/* Returns the errno of a fault in this call, ONE_BYTE, or NO_FAULT; logs each fault. */
static int draw_fault(enum call call, int descriptor) {
  int64_t one_in = control[1 + 2 * call];
  if (one_in == 0 || next_random() % (uint64_t)one_in != 0) return NO_FAULT;
  int fault = (int)control[2 + 2 * call];
  struct timespec now;
  syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  char line[120];
  int length = snprintf(line, sizeof line, "%lld.%09ld %s fd=%d errno=%d\n",
                        (long long)now.tv_sec, now.tv_nsec, CALL_NAMES[call], descriptor, fault);
  if (log_descriptor >= 0) syscall(SYS_write, log_descriptor, line, length);
  return fault;
}

static int is_socket(int descriptor) {
  struct stat status;
  return fstat(descriptor, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int is_in_folder(int descriptor) {
  return descriptor >= 0 && descriptor < MAX_DESCRIPTORS && in_folder[descriptor];
}

#define FAIL(call, descriptor)                      \
  do {                                              \
    int fault = draw_fault(call, descriptor);       \
    if (fault > 0) {                                \
      errno = fault;                                \
      return -1;                                    \
    }                                               \
  } while (0)

/* ---- sockets */

int accept(int descriptor, struct sockaddr *address, socklen_t *length) {
  NEXT(accept);
  FAIL(CALL_ACCEPT, descriptor);
  return next(descriptor, address, length);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
  NEXT(accept4);
  FAIL(CALL_ACCEPT, descriptor);
  return next(descriptor, address, length, flags);
}

int socket(int domain, int type, int protocol) {
  NEXT(socket);
  if ((type & 0xf) == SOCK_STREAM) FAIL(CALL_SOCKET, -1);
  return next(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
  NEXT(connect);
  FAIL(CALL_CONNECT, descriptor);
  return next(descriptor, address, length);
}

int getsockopt(int descriptor, int level, int option, void *value, socklen_t *length) {
  NEXT(getsockopt);
  int result = next(descriptor, level, option, value, length);
  if (result == 0 && level == SOL_SOCKET && option == SO_ERROR) {
    int fault = draw_fault(CALL_CONNECT_RESULT, descriptor);
    if (fault > 0) *(int *)value = fault;
  }
  return result;
}

int epoll_wait(int descriptor, struct epoll_event *events, int max_events, int timeout) {
  NEXT(epoll_wait);
  FAIL(CALL_WAIT, descriptor);
  return next(descriptor, events, max_events, timeout);
}

int poll(struct pollfd *descriptors, nfds_t count, int timeout) {
  NEXT(poll);
  FAIL(CALL_WAIT, -1);
  return next(descriptors, count, timeout);
}

ssize_t sendto(int descriptor, const void *bytes, size_t count, int flags,
               const struct sockaddr *address, socklen_t length) {
  NEXT(sendto);
  FAIL(CALL_SEND_DATAGRAM, descriptor);
  return next(descriptor, bytes, count, flags, address, length);
}

/* ---- reads and writes of sockets and of files in the folder */

static int draw_transfer_fault(int descriptor, enum call socket_call, enum call file_call) {
  if (is_in_folder(descriptor)) return draw_fault(file_call, descriptor);
  if (control[1 + 2 * socket_call] != 0 && is_socket(descriptor)) {
    return draw_fault(socket_call, descriptor);
  }
  return NO_FAULT;
}

#define TRANSFER(socket_call, file_call)                                       \
  do {                                                                         \
    int fault = draw_transfer_fault(descriptor, socket_call, file_call);       \
    if (fault > 0) {                                                           \
      errno = fault;                                                           \
      return -1;                                                               \
    }                                                                          \
    if (fault == ONE_BYTE && count > 1) count = 1;                             \
  } while (0)

ssize_t read(int descriptor, void *bytes, size_t count) {
  NEXT(read);
  TRANSFER(CALL_READ, CALL_FILE_READ);
  return next(descriptor, bytes, count);
}

ssize_t write(int descriptor, const void *bytes, size_t count) {
  NEXT(write);
  TRANSFER(CALL_WRITE, CALL_FILE_WRITE);
  return next(descriptor, bytes, count);
}

ssize_t pwrite64(int descriptor, const void *bytes, size_t count, off64_t offset) {
  NEXT(pwrite64);
  TRANSFER(CALL_WRITE, CALL_FILE_WRITE);
  return next(descriptor, bytes, count, offset);
}

ssize_t readv(int descriptor, const struct iovec *parts, int part_count) {
  NEXT(readv);
  int count = part_count;
  TRANSFER(CALL_READ, CALL_FILE_READ);
  return next(descriptor, parts, count);
}

ssize_t writev(int descriptor, const struct iovec *parts, int part_count) {
  NEXT(writev);
  int count = part_count;
  TRANSFER(CALL_WRITE, CALL_FILE_WRITE);
  return next(descriptor, parts, count);
}

/* ---- files in the folder */

static int open_in_folder(const char *path, int flags, mode_t mode) {
  int is_inside = folder != NULL && strncmp(path, folder, strlen(folder)) == 0;
  if (is_inside) FAIL((flags & O_ACCMODE) == O_RDONLY ? CALL_FILE_READ : CALL_FILE_OPEN, -1);
  int descriptor = (int)syscall(SYS_openat, AT_FDCWD, path, flags, mode);
  if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) {
    in_folder[descriptor] = (unsigned char)is_inside;
  }
  return descriptor;
}

#define OPEN_MODE                    \
  mode_t mode = 0;                   \
  if (flags & O_CREAT) {             \
    va_list arguments;               \
    va_start(arguments, flags);      \
    mode = va_arg(arguments, mode_t); \
    va_end(arguments);               \
  }

int open(const char *path, int flags, ...) {
  OPEN_MODE
  return open_in_folder(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
  OPEN_MODE
  return open_in_folder(path, flags, mode);
}

int close(int descriptor) {
  NEXT(close);
  if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) in_folder[descriptor] = 0;
  return next(descriptor);
}

int fsync(int descriptor) {
  NEXT(fsync);
  if (is_in_folder(descriptor)) FAIL(CALL_FILE_SYNC, descriptor);
  return next(descriptor);
}

int fdatasync(int descriptor) {
  NEXT(fdatasync);
  if (is_in_folder(descriptor)) FAIL(CALL_FILE_SYNC, descriptor);
  return next(descriptor);
}

int rename(const char *from, const char *to) {
  NEXT(rename);
  if (folder != NULL && strncmp(to, folder, strlen(folder)) == 0) FAIL(CALL_FILE_RENAME, -1);
  return next(from, to);
}

/* ---- the wall clock */

static void step(struct timespec *time) {
  int64_t nanos = time->tv_nsec + control[0] % 1000000000;
  time->tv_sec += control[0] / 1000000000;
  if (nanos < 0) {
    nanos += 1000000000;
    time->tv_sec--;
  } else if (nanos >= 1000000000) {
    nanos -= 1000000000;
    time->tv_sec++;
  }
  time->tv_nsec = nanos;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
  NEXT(clock_gettime);
  int result = next(clock, time);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) step(time);
  return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
  (void)zone;
  struct timespec now;
  int result = clock_gettime(CLOCK_REALTIME, &now);
  if (result == 0) {
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
  }
  return result;
}
