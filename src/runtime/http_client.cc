#include "runtime/http_client.h"

#include <civetweb.h>

#include <array>
#include <boost/asio/ip/address_v4.hpp>
#include <memory>
#include <sstream>

namespace lugfork {

namespace {

constexpr std::size_t kErrorTextBytes = 256;
constexpr std::size_t kReadChunkBytes = 16UL * 1024;

struct ConnectionCloser {
  void operator()(mg_connection* connection) const { mg_close_connection(connection); }
};

using ConnectionPtr = std::unique_ptr<mg_connection, ConnectionCloser>;

std::string requestText(const HttpCall& call) {
  std::ostringstream text;
  text << call.method << ' ' << call.target << " HTTP/1.1\r\nHost: " << toString(call.server)
       << "\r\nConnection: close\r\nContent-Length: " << call.body.size() << "\r\n";
  if (!call.bearer_token.empty()) {
    text << "Authorization: Bearer " << call.bearer_token << "\r\n";
  }
  for (const auto& [name, value] : call.headers) {
    text << name << ": " << value << "\r\n";
  }
  text << "\r\n" << call.body;
  return text.str();
}

std::string readBody(mg_connection* connection) {
  std::string body;
  std::string chunk(kReadChunkBytes, '\0');
  int count = mg_read(connection, chunk.data(), chunk.size());
  while (count > 0) {
    body.append(chunk, 0, static_cast<std::size_t>(count));
    count = mg_read(connection, chunk.data(), chunk.size());
  }
  return body;
}

}  // namespace

Result<HttpReply, HttpClientError> httpRequest(const HttpCall& call) {
  std::array<char, kErrorTextBytes> error_text{};
  const std::string host = boost::asio::ip::address_v4(call.server.address).to_string();
  const ConnectionPtr connection(
      mg_connect_client(host.c_str(), call.server.port, 0, error_text.data(), error_text.size()));
  if (connection == nullptr) {
    return HttpClientError{error_text.data()};
  }
  const std::string request = requestText(call);
  mg_write(connection.get(), request.data(), request.size());
  const auto timeout_ms =
      static_cast<int>(std::chrono::duration_cast<milliseconds>(call.timeout).count());
  if (mg_get_response(connection.get(), error_text.data(), error_text.size(), timeout_ms) < 0) {
    return HttpClientError{error_text.data()};
  }
  HttpReply reply;
  reply.status = mg_get_response_info(connection.get())->status_code;
  const char* etag = mg_get_header(connection.get(), "ETag");
  reply.etag = etag == nullptr ? "" : etag;
  reply.body = readBody(connection.get());
  return reply;
}

}  // namespace lugfork
