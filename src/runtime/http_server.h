#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "common/ids.h"
#include "common/time_source.h"

struct mg_context;

namespace lugfork {

/** An HTTP request as passed to a handler. */
struct HttpRequest {
  std::string method;
  std::string path;
  /** Query parameters, decoded. */
  std::map<std::string, std::string> query;
  /** Header fields; names in lower case. */
  std::map<std::string, std::string> headers;
  std::string body;
};

/** Response to an HttpRequest. */
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  std::string body;
};

/** Encryption and authentication of an HttpServer. */
struct HttpServerSecurity {
  /** Certificate and private key (PEM) for HTTPS; empty for plain HTTP. */
  std::string certificate_file;
  /** Clients must send "Authorization: Bearer TOKEN"; empty disables authentication. */
  std::string bearer_token;
  /** Paths that need no token, for the health checks of the fabric. */
  std::set<std::string> unauthenticated_paths;
};

/** Limits of an HttpServer. */
struct HttpServerLimits {
  /** Requests handled concurrently, each on its own thread. */
  unsigned threads = 16;
  /** Additional listening address; unset for none. */
  Endpoint second_address;
  /** Timeout of a request, including its response. */
  Duration request_timeout = seconds(10);
};

/** HTTP server (CivetWeb) with one handler for all paths, which runs on the server's threads. */
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  /**
   * @param address port 0 selects a free port.
   * @param security if it requires HTTPS and HTTPS is unavailable, the server does not start.
   * @throws std::runtime_error if the address can't be bound.
   */
  HttpServer(Endpoint address, Handler handler, HttpServerSecurity security = {},
             HttpServerLimits limits = {});
  ~HttpServer();

  /** @return the listening address, with the port that the system chose. */
  Endpoint localAddress() const;

 private:
  class RequestHandler;

  const Endpoint address_;
  std::unique_ptr<RequestHandler> request_handler_;
  mg_context* server_ = nullptr;
};

/**
 * Closes a server whose handlers wait for the event loop: runs the stopped loop until the last
 * request is answered, which avoids a deadlock.
 */
void closeWhileServing(boost::asio::io_context& io_context, std::unique_ptr<HttpServer>& server);

}  // namespace lugfork
