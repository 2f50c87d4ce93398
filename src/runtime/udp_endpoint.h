#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <span>

#include "flow/flow_router.h"
#include "load/receive_backlog.h"
#include "runtime/datagram_reader.h"

namespace lugfork {

/** UDP socket of the data path, on the event loop. */
class UdpEndpoint : public DatagramSender {
 public:
  using Handler = std::function<void(std::span<const std::uint8_t>, Endpoint)>;

  /** Whether datagrams are read at once, or stay in the socket until receiving is started. */
  enum class ReceiveStart { Immediate, Deferred };

  /**
   * Binds the address; port 0 selects a free port.
   * @throws boost::system::system_error if the address can't be bound.
   */
  UdpEndpoint(boost::asio::io_context& io_context, Endpoint address, Handler handler,
              ReceiveStart receive_start = ReceiveStart::Immediate);

  /** Starts to read datagrams; must be called once, for ReceiveStart::Deferred only. */
  void startReceiving() { receiveNext(); }

  /**
   * Called after each batch, once its datagrams were handled.
   * @return true to be called again in the next turn of the event loop, even if the socket is
   * empty.
   */
  using TurnHandler = std::function<bool(const ReceiveBatch&)>;

  /** @return true if more datagrams may be pending after the last one handled. */
  using MoreExpected = std::function<bool()>;

  /**
   * Starts to read datagrams of up to DatagramReader::kBufferBytes bytes, in one batch per turn of
   * the event loop; must be called once, for ReceiveStart::Deferred only. The first datagram after
   * a pause is read alone, which saves a system call; a batch follows only if more datagrams are
   * expected.
   */
  void startReceivingBatches(TurnHandler on_turn, MoreExpected more_expected,
                             DatagramReader::ReceiveMany receive_many = &::recvmmsg);

  /** Handles the datagrams that are pending now, before startReceivingBatches(). */
  void receivePending();

  /** Sets the receive buffer of the socket to hold about this many small datagrams. */
  void limitReceiveBuffer(std::size_t datagrams);

  void sendDatagram(Endpoint destination, const Datagram& datagram) override;
  void sendBytes(Endpoint destination, std::span<const std::uint8_t> bytes);

  /** @return the bound address, with the port that the system chose. */
  Endpoint localAddress() const;

 private:
  void receiveNext();
  DatagramReader& reader(DatagramReader::ReceiveMany receive_many);
  void awaitDatagram();
  void onDatagramAfterPause(std::size_t size);
  void receiveBatch();
  void finishTurn(const ReceiveBatch& turn);

  boost::asio::ip::udp::socket socket_;
  Handler handler_;
  boost::asio::ip::udp::endpoint sender_;
  /** Not cleared: memory that no datagram fills is never touched. */
  std::unique_ptr<std::uint8_t[]> buffer_;
  /** Null if datagrams are read one per turn. */
  std::unique_ptr<DatagramReader> reader_;
  TurnHandler on_turn_;
  MoreExpected more_expected_;
};

}  // namespace lugfork
