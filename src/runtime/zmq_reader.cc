#include "runtime/zmq_reader.h"

#include <boost/asio/post.hpp>

namespace lugfork {

ZmqReader::ZmqReader(boost::asio::io_context& io_context, zmq::socket_t& socket, Handler handler)
    : socket_(socket),
      handler_(std::move(handler)),
      descriptor_(io_context, socket.get(zmq::sockopt::fd)) {
  // The descriptor of a new socket signals nothing until the socket has been read empty once.
  boost::asio::post(io_context, [this] { receiveMessages(); });
  waitForMessages();
}

ZmqReader::~ZmqReader() {
  // The descriptor belongs to ZeroMQ and must not be closed here.
  descriptor_.release();
}

void ZmqReader::waitForMessages() {
  descriptor_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                         [this](const boost::system::error_code& error) {
                           if (error) {
                             return;
                           }
                           receiveMessages();
                           waitForMessages();
                         });
}

void ZmqReader::receiveMessages() {
  // The descriptor is edge-triggered, so all pending messages must be read.
  while (true) {
    zmq::message_t first;
    if (!socket_.recv(first, zmq::recv_flags::dontwait)) {
      return;
    }
    Frames frames;
    frames.push_back(std::move(first));
    while (frames.back().more()) {
      zmq::message_t next;
      static_cast<void>(socket_.recv(next, zmq::recv_flags::none));
      frames.push_back(std::move(next));
    }
    handler_(frames);
  }
}

}  // namespace lugfork
