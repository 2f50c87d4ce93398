#include "runtime/zmq_reader.h"

#include <boost/asio/post.hpp>

namespace lugfork {

ZmqReader::ZmqReader(boost::asio::io_context& io_context, zmq::socket_t& socket, Handler handler)
    : socket_(socket),
      handler_(std::move(handler)),
      descriptor_(io_context, socket.get(zmq::sockopt::fd)) {
  // A new pipe signals nothing until its reader has once found it empty.
  boost::asio::post(io_context, [this] { receiveMessages(); });
  waitForMessages();
}

ZmqReader::~ZmqReader() {
  // ZeroMQ owns the descriptor.
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
  // The descriptor signals only changes, so everything that is there must be read.
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
