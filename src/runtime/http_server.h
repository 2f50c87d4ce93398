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

/** One HTTP request as a handler sees it. */
struct HttpRequest {
  std::string method;
  std::string path;
  /** Query parameters, decoded. */
  std::map<std::string, std::string> query;
  /** Header fields; names in lower case. */
  std::map<std::string, std::string> headers;
  std::string body;
};

/** Answer to an HttpRequest. */
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::map<std::string, std::string> headers;
  std::string body;
};

/** What the server asks of its clients. */
struct HttpServerSecurity {
  /** Certificate and private key (PEM) for HTTPS; empty for plain HTTP. */
  std::string certificate_file;
  /** Clients must send "Authorization: Bearer TOKEN"; empty lets everybody in. */
  std::string bearer_token;
  /** Paths that need no token, for health checks of the fabric. */
  std::set<std::string> open_paths;
};

/** Size of the server. */
struct HttpServerLimits {
  /** Requests that are answered at a time; each has a thread. */
  unsigned threads = 16;
  /** Further address at which the same server listens; unset for none. */
  Endpoint second_address;
  /** Longest time for a request and its answer. */
  Duration request_timeout = seconds(10);
};

/** HTTP server (CivetWeb) with one handler for all paths, called on the server's own threads. */
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  /**
   * @param address port 0 takes a free port.
   * @param security never eased: where HTTPS can't be had the server does not start.
   * @throws std::runtime_error where the address can't be bound.
   */
  HttpServer(Endpoint address, Handler handler, HttpServerSecurity security = {},
             HttpServerLimits limits = {});
  ~HttpServer();

  /** @return the address that the server listens at. */
  Endpoint localAddress() const;

 private:
  class RequestAnswerer;

  const Endpoint address_;
  std::unique_ptr<RequestAnswerer> answerer_;
  mg_context* server_ = nullptr;
};

/**
 * Closes a server whose handlers wait for the event loop: runs the stopped loop until the last
 * request is answered.
 */
void closeWhileServing(boost::asio::io_context& io_context, std::unique_ptr<HttpServer>& server);

}  // namespace lugfork
