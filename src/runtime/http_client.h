#pragma once

#include <map>
#include <string>

#include "common/ids.h"
#include "common/result.h"
#include "common/time_source.h"

namespace lugfork {

/** Response of an HTTP server. */
struct HttpReply {
  int status = 0;
  std::string etag;
  std::string body;
};

/** Describes why no response was received. */
struct HttpClientError {
  std::string message;
};

/** An HTTP request to send. */
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

/** Sends one HTTP request (CivetWeb's client) and waits for the response. */
Result<HttpReply, HttpClientError> httpRequest(const HttpCall& call);

}  // namespace lugfork
