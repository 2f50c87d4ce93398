#include "runtime/http_get_client.h"

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

namespace lugfork {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kMaxBodyBytes = 8UL * 1024 * 1024;
constexpr int kHttpVersion = 11;
/** A network partition closes no connection; keep-alive probes detect it in about three seconds. */
constexpr int kProbeIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;
constexpr int kUserTimeoutMs = 3000;

void setOption(int socket, int level, int name, int value) {
  setsockopt(socket, level, name, &value, sizeof(value));
}

void detectDeadPeers(int socket) {
  setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIdleSeconds);
  setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbeCount);
  setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
}

}  // namespace

/** One TCP connection, which makes one call at a time. */
class HttpGetClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::io_context& io_context, Duration connect_timeout)
      : stream_(io_context), connect_timeout_(connect_timeout) {}

  using Callback = std::function<void(Result<HttpGetReply, HttpGetError>, bool)>;

  /** @param callback its second argument is true if the connection can be reused. */
  void get(const HttpGetCall& call, Callback callback) {
    callback_ = std::move(callback);
    server_ = call.server;
    timeout_ = call.timeout;
    request_ = {http::verb::get, call.target, kHttpVersion};
    request_.set(http::field::host, toString(call.server));
    if (!call.bearer_token.empty()) {
      request_.set(http::field::authorization, "Bearer " + call.bearer_token);
    }
    if (is_connected_) {
      write();
    } else {
      connect();
    }
  }

 private:
  void connect() {
    stream_.expires_after(connect_timeout_);
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(server_.address), server_.port);
    stream_.async_connect(endpoint, [self = shared_from_this()](const beast::error_code& error) {
      if (error) {
        self->finish(HttpGetError::NoAnswer, false);
        return;
      }
      self->is_connected_ = true;
      detectDeadPeers(self->stream_.socket().native_handle());
      self->write();
    });
  }

  void write() {
    stream_.expires_after(timeout_);
    http::async_write(stream_, request_,
                      [self = shared_from_this()](const beast::error_code& error, std::size_t) {
                        if (error) {
                          self->finish(HttpGetError::NoAnswer, false);
                          return;
                        }
                        self->read();
                      });
  }

  void read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const beast::error_code& error, std::size_t) {
          if (error) {
            const bool malformed =
                error.category() == make_error_code(http::error::body_limit).category() &&
                error != http::error::end_of_stream;
            self->finish(malformed ? HttpGetError::Malformed : HttpGetError::NoAnswer, false);
            return;
          }
          auto& message = self->parser_->get();
          const bool keep = message.keep_alive();
          self->finish(HttpGetReply{message.result_int(), std::move(message.body())}, keep);
        });
  }

  void finish(Result<HttpGetReply, HttpGetError> result, bool reusable) {
    stream_.expires_never();
    // Frees the memory of a large response before the connection becomes idle.
    buffer_.shrink_to_fit();
    if (!reusable) {
      beast::error_code ignored;
      stream_.socket().close(ignored);
    }
    parser_.reset();
    std::exchange(callback_, nullptr)(std::move(result), reusable);
  }

  beast::tcp_stream stream_;
  const Duration connect_timeout_;
  Endpoint server_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  Callback callback_;
  Duration timeout_{};
  bool is_connected_ = false;
};

HttpGetClient::HttpGetClient(asio::io_context& io_context, Duration connect_timeout)
    : io_context_(io_context), connect_timeout_(connect_timeout) {}

HttpGetClient::~HttpGetClient() = default;

void HttpGetClient::get(const HttpGetCall& call, Callback callback) {
  const ConnectionPtr connection = takeConnection(call.server);
  connection->get(call, [this, connection, server = call.server, callback = std::move(callback)](
                            Result<HttpGetReply, HttpGetError> reply, bool reusable) {
    if (reusable) {
      idle_[server].push_back(connection);
    }
    callback(std::move(reply));
  });
}

HttpGetClient::ConnectionPtr HttpGetClient::takeConnection(Endpoint server) {
  const auto found = idle_.find(server);
  if (found == idle_.end()) {
    return std::make_shared<Connection>(io_context_, connect_timeout_);
  }
  ConnectionPtr connection = found->second.back();
  found->second.pop_back();
  if (found->second.empty()) {
    idle_.erase(found);
  }
  return connection;
}

}  // namespace lugfork
