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

/** No answer came, or none that HTTP knows. */
enum class HttpGetError { NoAnswer, Malformed };

/** Answer to a GET. */
struct HttpGetReply {
  unsigned status = 0;
  std::string body;
};

/** What to ask. */
struct HttpGetCall {
  Endpoint server;
  /** Path with the query. */
  std::string target;
  /** Time for the answer, from the moment that the connection stands. */
  Duration timeout = seconds(2);
  /** Sent as "Authorization: Bearer ..." unless empty. */
  std::string bearer_token;
};

/** Makes GET calls on the event loop (Boost.Beast) over connections that are kept open. */
class HttpGetClient {
 public:
  using Callback = std::function<void(Result<HttpGetReply, HttpGetError>)>;

  HttpGetClient(boost::asio::io_context& io_context, Duration connect_timeout);
  ~HttpGetClient();

  /** Calls back once, from the event loop. */
  void get(const HttpGetCall& call, Callback callback);

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  ConnectionPtr takeConnection(Endpoint server);

  boost::asio::io_context& io_context_;
  const Duration connect_timeout_;
  /** Open connections without a call. */
  std::map<Endpoint, std::vector<ConnectionPtr>> idle_;
};

}  // namespace lugfork
