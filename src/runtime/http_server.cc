#include "runtime/http_server.h"

#include <civetweb.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <cctype>
#include <sstream>
#include <thread>

namespace lugfork {

namespace {

constexpr std::size_t kMaxBodyBytes = 16UL * 1024 * 1024;
constexpr std::size_t kReadChunkBytes = 16UL * 1024;
constexpr int kUnauthorized = 401;
constexpr int kInternalError = 500;

std::string lowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

std::string urlDecode(const std::string& text) {
  constexpr int kPlusIsSpace = 1;
  // The decoded text is never longer than the input; CivetWeb appends a null character.
  std::string decoded(text.size() + 1, '\0');
  const int size = mg_url_decode(text.data(), static_cast<int>(text.size()), decoded.data(),
                                 static_cast<int>(decoded.size()), kPlusIsSpace);
  decoded.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
  return decoded;
}

std::map<std::string, std::string> parseQuery(const char* query) {
  std::map<std::string, std::string> parameters;
  std::istringstream parts(query == nullptr ? "" : query);
  std::string part;
  while (std::getline(parts, part, '&')) {
    const auto equals = part.find('=');
    const std::string value = equals == std::string::npos ? "" : part.substr(equals + 1);
    parameters[urlDecode(part.substr(0, equals))] = urlDecode(value);
  }
  return parameters;
}

std::string readBody(mg_connection* connection, long long content_length) {
  std::string body;
  std::string chunk(kReadChunkBytes, '\0');
  while (body.size() < kMaxBodyBytes &&
         (content_length < 0 || body.size() < static_cast<std::size_t>(content_length))) {
    const int count = mg_read(connection, chunk.data(), chunk.size());
    if (count <= 0) {
      break;
    }
    body.append(chunk, 0, static_cast<std::size_t>(count));
  }
  return body;
}

HttpRequest readRequest(mg_connection* connection) {
  const mg_request_info* info = mg_get_request_info(connection);
  HttpRequest request;
  request.method = info->request_method;
  request.path = info->local_uri;
  request.query = parseQuery(info->query_string);
  for (int index = 0; index < info->num_headers; ++index) {
    request.headers[lowerCase(info->http_headers[index].name)] = info->http_headers[index].value;
  }
  if (info->content_length != 0 && request.method != "GET" && request.method != "HEAD") {
    request.body = readBody(connection, info->content_length);
  }
  return request;
}

void writeResponse(mg_connection* connection, const HttpResponse& response) {
  std::ostringstream head;
  head << "HTTP/1.1 " << response.status << ' '
       << mg_get_response_code_text(connection, response.status)
       << "\r\nContent-Type: " << response.content_type
       << "\r\nContent-Length: " << response.body.size() << "\r\nConnection: close\r\n";
  for (const auto& [name, value] : response.headers) {
    head << name << ": " << value << "\r\n";
  }
  head << "\r\n" << response.body;
  const std::string bytes = head.str();
  mg_write(connection, bytes.data(), bytes.size());
}

/** @return true if both texts are equal; takes constant time for texts of equal length. */
bool secretsEqual(const std::string& left, const std::string& right) {
  return left.size() == right.size() && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

/** @return a problem document (RFC 9457) created by the server itself. */
HttpResponse serverProblem(int status, const std::string& title) {
  HttpResponse response;
  response.status = status;
  response.content_type = "application/problem+json";
  response.body = R"({"type":"about:blank","title":")" + title + R"(","status":)" +
                  std::to_string(status) + "}\n";
  return response;
}

HttpResponse unauthorized() {
  HttpResponse response = serverProblem(kUnauthorized, "a bearer token is needed");
  response.headers["WWW-Authenticate"] = "Bearer";
  return response;
}

/** @throws std::runtime_error if CivetWeb can't use the machine's OpenSSL. */
void requireTls() {
  if ((mg_init_library(MG_FEATURES_SSL) & MG_FEATURES_SSL) == 0) {
    throw std::runtime_error("HTTPS is unavailable: CivetWeb can't use this machine's OpenSSL");
  }
}

/**
 * Connects to a server repeatedly while it closes: CivetWeb's accept loop checks its stop flag at
 * each connection, and otherwise only every two seconds.
 */
class AcceptWaker {
 public:
  explicit AcceptWaker(Endpoint server)
      : thread_([server](const std::stop_token& stop) {
          do {
            connectOnce(server);
            std::this_thread::sleep_for(kWakeInterval);
          } while (!stop.stop_requested());
        }) {}

 private:
  static constexpr std::chrono::milliseconds kWakeInterval{20};

  static void connectOnce(Endpoint server) {
    boost::asio::io_context io_context;
    boost::asio::ip::tcp::socket socket(io_context);
    boost::system::error_code refused_once_closed;
    socket.connect({boost::asio::ip::address_v4(server.address), server.port}, refused_once_closed);
  }

  std::jthread thread_;
};

/** @return CivetWeb's option array: alternating names and values, terminated by null. */
std::vector<const char*> optionPointers(const std::vector<std::string>& options) {
  std::vector<const char*> pointers;
  pointers.reserve(options.size() + 1);
  for (const std::string& option : options) {
    pointers.push_back(option.c_str());
  }
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

/** Authenticates requests and passes them to the handler. */
class HttpServer::RequestHandler {
 public:
  RequestHandler(Handler handler, HttpServerSecurity security)
      : handler_(std::move(handler)), security_(std::move(security)) {}

  /** CivetWeb callback. @return 0 to leave the request to CivetWeb, which rejects it. */
  static int onRequest(mg_connection* connection, void* request_handler) {
    const std::string_view method = mg_get_request_info(connection)->request_method;
    if (method != "GET" && method != "POST" && method != "PUT" && method != "DELETE") {
      return 0;
    }
    static_cast<const RequestHandler*>(request_handler)->handle(connection);
    return 1;
  }

 private:
  void handle(mg_connection* connection) const {
    const HttpRequest request = readRequest(connection);
    writeResponse(connection, isAuthorized(request) ? callHandler(request) : unauthorized());
  }

  /** Catches exceptions: one that reached CivetWeb's threads would end the process. */
  HttpResponse callHandler(const HttpRequest& request) const {
    try {
      return handler_(request);
    } catch (const std::exception&) {
      return serverProblem(kInternalError, "the request could not be answered");
    }
  }

  bool isAuthorized(const HttpRequest& request) const {
    if (security_.bearer_token.empty() || security_.unauthenticated_paths.contains(request.path)) {
      return true;
    }
    const auto header = request.headers.find("authorization");
    return header != request.headers.end() &&
           secretsEqual(header->second, "Bearer " + security_.bearer_token);
  }

  const Handler handler_;
  const HttpServerSecurity security_;
};

HttpServer::HttpServer(Endpoint address, Handler handler, HttpServerSecurity security,
                       HttpServerLimits limits)
    : address_(address) {
  const bool encrypted = !security.certificate_file.empty();
  const auto timeout_ms = std::chrono::duration_cast<milliseconds>(limits.request_timeout).count();
  const std::string suffix = encrypted ? "s" : "";
  std::string ports = toString(address) + suffix;
  if (limits.second_address.isSet()) {
    ports += "," + toString(limits.second_address) + suffix;
  }
  std::vector<std::string> options = {"listening_ports",    ports,
                                      "num_threads",        std::to_string(limits.threads),
                                      "request_timeout_ms", std::to_string(timeout_ms)};
  if (encrypted) {
    requireTls();
    options.insert(options.end(), {"ssl_certificate", security.certificate_file});
  }
  request_handler_ = std::make_unique<RequestHandler>(std::move(handler), std::move(security));
  const mg_callbacks no_callbacks{};
  server_ = mg_start(&no_callbacks, nullptr, optionPointers(options).data());
  if (server_ == nullptr) {
    throw std::runtime_error("HTTP server at " + toString(address) + " can't start");
  }
  mg_set_request_handler(server_, "/", &RequestHandler::onRequest, request_handler_.get());
}

HttpServer::~HttpServer() {
  const AcceptWaker waker(localAddress());
  mg_stop(server_);
}

void closeWhileServing(boost::asio::io_context& io_context, std::unique_ptr<HttpServer>& server) {
  io_context.restart();
  const auto guard = boost::asio::make_work_guard(io_context);
  boost::asio::thread_pool closer(1);
  boost::asio::post(closer, [&] {
    server.reset();
    io_context.stop();
  });
  io_context.run();
  closer.join();
}

Endpoint HttpServer::localAddress() const {
  constexpr int kMaxPorts = 2;
  std::array<mg_server_port, kMaxPorts> ports{};
  const int count = mg_get_server_ports(server_, kMaxPorts, ports.data());
  const auto port = static_cast<std::uint16_t>(count > 0 ? ports[0].port : 0);
  return {address_.address, port};
}

}  // namespace lugfork
