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

/** Reads datagrams of a socket in batches, with one system call each if the system supports it. */
class DatagramReader {
 public:
  /** Limit of one batch: about 20 ms of packets on a node with little CPU, which bounds the delay
   * of its timers. */
  static constexpr std::size_t kMaxBatchDatagrams = 32;
  /** Longest datagram that is read completely; a longer one is truncated to this length, which
   * exceeds the limit of a packet. [bytes] */
  static constexpr std::size_t kBufferBytes = 2048;

  using Handler = std::function<void(std::span<const std::uint8_t>, Endpoint)>;

  /** Result of reading one batch. */
  struct Batch {
    std::size_t datagrams = 0;
    /** The socket held no further datagram. */
    bool is_empty = false;
  };

  /** Signature of recvmmsg(). */
  using ReceiveMany = int (*)(int, mmsghdr*, unsigned, int, timespec*);

  /** @param receive_many if it fails with ENOSYS, EPERM, EOPNOTSUPP or EINVAL, the system does not
   * support it, and each datagram is read by a call of its own. */
  explicit DatagramReader(ReceiveMany receive_many = &::recvmmsg);

  /** Passes up to kMaxBatchDatagrams pending datagrams of a socket to the handler. Never blocks. */
  Batch read(int socket, const Handler& handler);

  /** @return true if the system does not support batches, and datagrams are read one by one. */
  bool readsSingly() const { return receive_many_ == nullptr; }

 private:
  /** @return number of datagrams read into the buffers, or -1 on an error (errno). */
  int readMultiple(int socket);
  Batch readSingly(int socket, const Handler& handler);

  std::span<std::uint8_t> bufferOf(std::size_t index) {
    return {buffers_.get() + index * kBufferBytes, kBufferBytes};
  }

  /** Null if the system does not support the call. */
  ReceiveMany receive_many_;
  /** Not cleared: memory that no datagram fills is never touched. */
  const std::unique_ptr<std::uint8_t[]> buffers_;
  std::array<mmsghdr, kMaxBatchDatagrams> message_headers_{};
  std::array<iovec, kMaxBatchDatagrams> io_vectors_{};
  std::array<sockaddr_in, kMaxBatchDatagrams> senders_{};
};

}  // namespace lugfork
