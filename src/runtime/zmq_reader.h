#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <vector>
#include <zmq.hpp>

namespace lugfork {

/** Reads the messages of a ZeroMQ socket on the event loop. The socket must outlive the reader. */
class ZmqReader {
 public:
  using Frames = std::vector<zmq::message_t>;
  using Handler = std::function<void(const Frames&)>;

  ZmqReader(boost::asio::io_context& io_context, zmq::socket_t& socket, Handler handler);
  ~ZmqReader();

 private:
  void waitForMessages();
  void receiveMessages();

  zmq::socket_t& socket_;
  Handler handler_;
  boost::asio::posix::stream_descriptor descriptor_;
};

}  // namespace lugfork
