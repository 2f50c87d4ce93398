#include "runtime/datagram_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cerrno>

namespace lugfork {

namespace {

Endpoint endpointOf(const sockaddr_in& address) {
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

bool wouldBlock(int error) {
  return error == EAGAIN || error == EWOULDBLOCK;
}

bool isUnsupported(int error) {
  return error == ENOSYS || error == EPERM || error == EOPNOTSUPP || error == EINVAL;
}

}  // namespace

DatagramReader::DatagramReader(ReceiveMany receive_many)
    : receive_many_(receive_many),
      buffers_(std::make_unique_for_overwrite<std::uint8_t[]>(kMaxBatchDatagrams * kBufferBytes)) {
  for (std::size_t index = 0; index < kMaxBatchDatagrams; ++index) {
    const std::span<std::uint8_t> buffer = bufferOf(index);
    io_vectors_[index] = {buffer.data(), buffer.size()};
    message_headers_[index].msg_hdr.msg_iov = &io_vectors_[index];
    message_headers_[index].msg_hdr.msg_iovlen = 1;
    message_headers_[index].msg_hdr.msg_name = &senders_[index];
  }
}

DatagramReader::Batch DatagramReader::read(int socket, const Handler& handler) {
  if (receive_many_ == nullptr) {
    return readSingly(socket, handler);
  }
  const int count = readMultiple(socket);
  if (count < 0) {
    if (!isUnsupported(errno)) {
      // May be a pending error of an earlier send; the event loop signals the datagrams behind it
      // again.
      return {0, true};
    }
    receive_many_ = nullptr;
    return readSingly(socket, handler);
  }
  const auto datagrams = static_cast<std::size_t>(count);
  for (std::size_t index = 0; index < datagrams; ++index) {
    const std::size_t size = std::min<std::size_t>(message_headers_[index].msg_len, kBufferBytes);
    handler(bufferOf(index).first(size), endpointOf(senders_[index]));
  }
  return {datagrams, datagrams < kMaxBatchDatagrams};
}

int DatagramReader::readMultiple(int socket) {
  for (mmsghdr& header : message_headers_) {
    header.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  }
  return receive_many_(socket, message_headers_.data(), kMaxBatchDatagrams, MSG_DONTWAIT, nullptr);
}

DatagramReader::Batch DatagramReader::readSingly(int socket, const Handler& handler) {
  Batch batch;
  while (batch.datagrams < kMaxBatchDatagrams) {
    const std::span<std::uint8_t> buffer = bufferOf(0);
    sockaddr_in sender{};
    socklen_t sender_size = sizeof(sender);
    const ssize_t size = ::recvfrom(socket, buffer.data(), buffer.size(), MSG_DONTWAIT,
                                    reinterpret_cast<sockaddr*>(&sender), &sender_size);
    if (size < 0) {
      batch.is_empty = wouldBlock(errno) || batch.datagrams == 0;
      return batch;
    }
    ++batch.datagrams;
    handler(buffer.first(static_cast<std::size_t>(size)), endpointOf(sender));
  }
  return batch;
}

}  // namespace lugfork
