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

/** UDP socket on the event loop that sends and receives datagrams of the data path. */
class UdpEndpoint : public DatagramSender {
 public:
  using Handler = std::function<void(std::span<const std::uint8_t>, Endpoint)>;

  /** Whether datagrams are read from the start, or wait in the socket until startReceiving(). */
  enum class Receiving { AtOnce, Later };

  /**
   * Binds the address; port 0 takes any free port.
   * @throws boost::system::system_error where the address can't be bound.
   */
  UdpEndpoint(boost::asio::io_context& io_context, Endpoint address, Handler handler,
              Receiving receiving = Receiving::AtOnce);

  /** Begins to read datagrams; to be called once, where the socket was made to receive later. */
  void startReceiving() { receiveNext(); }

  /**
   * Called after each read of a batch, once its datagrams were handed over.
   * @return true where it is to be called again soon, also where the socket is empty.
   */
  using TurnHandler = std::function<bool(const ReceiveBatch&)>;

  /** @return true where more datagrams may wait behind the one that was handed over last. */
  using MoreExpected = std::function<bool()>;

  /**
   * Begins to read datagrams of up to DatagramReader::kLargest bytes, several in a turn of the
   * event loop; to be called once, where the socket was made to receive later. The first datagram
   * after a pause is read alone, which costs a system call less, and others only where more are
   * expected.
   */
  void startReceivingBatches(TurnHandler on_turn, MoreExpected more_expected,
                             DatagramReader::ReceiveMany receive_many = &::recvmmsg);

  /** Hands over what waits now, before startReceivingBatches(). */
  void receiveWaiting();

  /** Sets what the system may keep for this socket, by about so many small datagrams. */
  void holdDatagrams(std::size_t datagrams);

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
  /** Not cleared: memory that no datagram fills is never used. */
  std::unique_ptr<std::uint8_t[]> buffer_;
  /** Null where datagrams are read one in a turn. */
  std::unique_ptr<DatagramReader> reader_;
  TurnHandler on_turn_;
  MoreExpected more_expected_;
};

}  // namespace lugfork
