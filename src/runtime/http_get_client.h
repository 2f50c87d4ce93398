#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/result.h"
#include "common/time_source.h"

namespace lugfork {

/** No response was received, or it is not valid HTTP. */
enum class HttpGetError { NoAnswer, Malformed };

/** Response to a GET. */
struct HttpGetReply {
  unsigned status = 0;
  std::string body;
};

/** A GET request to send. */
struct HttpGetCall {
  Endpoint server;
  /** Path with the query. */
  std::string target;
  /** Timeout of the response, counted from when the connection is established. */
  Duration timeout = seconds(2);
  /** Sent as "Authorization: Bearer ..." unless empty. */
  std::string bearer_token;
};

/** Sends GET requests on the event loop (Boost.Beast) over persistent connections. */
class HttpGetClient {
 public:
  using Callback = std::function<void(Result<HttpGetReply, HttpGetError>)>;

  HttpGetClient(boost::asio::io_context& io_context, Duration connect_timeout);
  ~HttpGetClient();

  /** Calls back exactly once, on the event loop. */
  void get(const HttpGetCall& call, Callback callback);

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  ConnectionPtr takeConnection(Endpoint server);

  boost::asio::io_context& io_context_;
  const Duration connect_timeout_;
  /** Open connections without a pending call, by server. */
  std::map<Endpoint, std::vector<ConnectionPtr>> idle_;
};

}  // namespace lugfork
