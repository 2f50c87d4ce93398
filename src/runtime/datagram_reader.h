#pragma once

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include "config/configuration.h"

namespace lugfork {

/** Reads several datagrams of a socket at once: by one system call where the system has it. */
class DatagramReader {
 public:
  /** Datagrams of one batch: some 20 ms of packets of a weak node, so that its timers wait no
   * longer. */
  static constexpr std::size_t kMost = 32;
  /** Longest datagram that comes whole; a longer one comes cut to that length, which is over the
   * limit of a packet. [bytes] */
  static constexpr std::size_t kLargest = 2048;

  using Handler = std::function<void(std::span<const std::uint8_t>, Endpoint)>;

  /** What one batch found. */
  struct Batch {
    std::size_t datagrams = 0;
    /** The socket held nothing more. */
    bool is_empty = false;
  };

  /** Signature of recvmmsg(). */
  using ReceiveMany = int (*)(int, mmsghdr*, unsigned, int, timespec*);

  /** @param receive_many may fail with ENOSYS, EPERM, EOPNOTSUPP or EINVAL where the system has no
   * such call: datagrams are read by single calls then. */
  explicit DatagramReader(ReceiveMany receive_many = &::recvmmsg);

  /** Reads what waits in a socket, up to kMost datagrams, and hands each over. Never blocks. */
  Batch read(int socket, const Handler& handler);

  /** @return true where datagrams are read one by one, since the system knows no other way. */
  bool readsSingly() const { return receive_many_ == nullptr; }

 private:
  /** @return number of datagrams read into the buffers, or -1 where the system can't. */
  int readMultiple(int socket);
  Batch readSingly(int socket, const Handler& handler);

  std::span<std::uint8_t> bufferOf(std::size_t index) {
    return {buffers_.get() + index * kLargest, kLargest};
  }

  /** Null where the system has no such call. */
  ReceiveMany receive_many_;
  /** Not cleared: memory that no datagram fills is never used. */
  const std::unique_ptr<std::uint8_t[]> buffers_;
  std::array<mmsghdr, kMost> heads_{};
  std::array<iovec, kMost> places_{};
  std::array<sockaddr_in, kMost> senders_{};
};

}  // namespace lugfork
