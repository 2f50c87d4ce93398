#pragma once

#include <map>
#include <string>

#include "common/ids.h"
#include "common/result.h"
#include "common/time_source.h"

namespace lugfork {

/** What a server answered. */
struct HttpReply {
  int status = 0;
  std::string etag;
  std::string body;
};

/** No answer: what went wrong, in words. */
struct HttpClientError {
  std::string message;
};

/** What to ask of a server. */
struct HttpCall {
  std::string method = "GET";
  Endpoint server;
  /** Path with the query. */
  std::string target;
  std::map<std::string, std::string> headers;
  std::string body;
  /** Sent as "Authorization: Bearer ..." unless empty. */
  std::string bearer_token;
  Duration timeout = seconds(2);
};

/** Makes one HTTP request (CivetWeb's client) and waits for the answer. */
Result<HttpReply, HttpClientError> httpRequest(const HttpCall& call);

}  // namespace lugfork
