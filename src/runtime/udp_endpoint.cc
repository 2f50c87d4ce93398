#include "runtime/udp_endpoint.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include "wire/datagram_codec.h"

namespace lugfork {

namespace {

using boost::asio::ip::udp;

constexpr std::size_t kReceiveBufferBytes = 65536;
constexpr int kSocketBufferBytes = 4 * 1024 * 1024;
/** Half of what the kernel accounts for a small datagram with its overhead, as it doubles the
 * buffer size that is set. [bytes] */
constexpr std::size_t kSmallDatagramBytes = 512;

udp::endpoint toAsio(Endpoint endpoint) {
  return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

Endpoint fromAsio(const udp::endpoint& endpoint) {
  return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

}  // namespace

UdpEndpoint::UdpEndpoint(boost::asio::io_context& io_context, Endpoint address, Handler handler,
                         ReceiveStart receive_start)
    : socket_(io_context, udp::v4()),
      handler_(std::move(handler)),
      buffer_(std::make_unique_for_overwrite<std::uint8_t[]>(kReceiveBufferBytes)) {
  socket_.bind(toAsio(address));
  socket_.non_blocking(true);
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  socket_.set_option(boost::asio::socket_base::send_buffer_size(kSocketBufferBytes), ignored);
  if (receive_start == ReceiveStart::Immediate) {
    receiveNext();
  }
}

void UdpEndpoint::startReceivingBatches(TurnHandler on_turn, MoreExpected more_expected,
                                        DatagramReader::ReceiveMany receive_many) {
  on_turn_ = std::move(on_turn);
  more_expected_ = std::move(more_expected);
  reader(receive_many);
  receiveBatch();
}

void UdpEndpoint::receivePending() {
  DatagramReader& datagram_reader = reader(&::recvmmsg);
  while (!datagram_reader.read(socket_.native_handle(), handler_).is_empty) {
  }
}

DatagramReader& UdpEndpoint::reader(DatagramReader::ReceiveMany receive_many) {
  if (reader_ == nullptr) {
    buffer_ = std::make_unique_for_overwrite<std::uint8_t[]>(DatagramReader::kBufferBytes);
    reader_ = std::make_unique<DatagramReader>(receive_many);
  }
  return *reader_;
}

void UdpEndpoint::limitReceiveBuffer(std::size_t datagrams) {
  const auto bytes = static_cast<int>(datagrams * kSmallDatagramBytes);
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::receive_buffer_size(bytes), ignored);
}

void UdpEndpoint::awaitDatagram() {
  // Waiting for readiness alone would cost one more system call than an asynchronous read.
  socket_.async_receive_from(boost::asio::buffer(buffer_.get(), DatagramReader::kBufferBytes),
                             sender_,
                             [this](const boost::system::error_code& error, std::size_t size) {
                               if (error == boost::asio::error::operation_aborted) {
                                 return;
                               }
                               if (error) {
                                 awaitDatagram();
                                 return;
                               }
                               onDatagramAfterPause(size);
                             });
}

void UdpEndpoint::onDatagramAfterPause(std::size_t size) {
  handler_(std::span(buffer_.get(), size), fromAsio(sender_));
  if (!more_expected_()) {
    finishTurn({1, true, false});
    return;
  }
  const DatagramReader::Batch batch = reader_->read(socket_.native_handle(), handler_);
  finishTurn({1 + batch.datagrams, batch.is_empty});
}

void UdpEndpoint::receiveBatch() {
  const DatagramReader::Batch batch = reader_->read(socket_.native_handle(), handler_);
  finishTurn({batch.datagrams, batch.is_empty});
}

void UdpEndpoint::finishTurn(const ReceiveBatch& turn) {
  const bool wants_turn = on_turn_(turn);
  if (turn.is_empty && !wants_turn) {
    awaitDatagram();
    return;
  }
  boost::asio::post(socket_.get_executor(), [this] { receiveBatch(); });
}

void UdpEndpoint::sendDatagram(Endpoint destination, const Datagram& datagram) {
  sendBytes(destination, encodeDatagram(datagram));
}

void UdpEndpoint::sendBytes(Endpoint destination, std::span<const std::uint8_t> bytes) {
  // A datagram that can't be sent is lost, as on any network; senders retransmit.
  boost::system::error_code ignored;
  socket_.send_to(boost::asio::buffer(bytes.data(), bytes.size()), toAsio(destination), 0, ignored);
}

Endpoint UdpEndpoint::localAddress() const {
  return fromAsio(socket_.local_endpoint());
}

void UdpEndpoint::receiveNext() {
  socket_.async_receive_from(boost::asio::buffer(buffer_.get(), kReceiveBufferBytes), sender_,
                             [this](const boost::system::error_code& error, std::size_t size) {
                               if (error == boost::asio::error::operation_aborted) {
                                 return;
                               }
                               if (!error) {
                                 handler_(std::span(buffer_.get(), size), fromAsio(sender_));
                               }
                               receiveNext();
                             });
}

}  // namespace lugfork
