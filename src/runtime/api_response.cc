#include "runtime/api_response.h"

#include <xxhash.h>

#include <iomanip>
#include <sstream>

namespace lugfork {

namespace {

std::string entityTag(const std::string& body) {
  std::ostringstream tag;
  tag << '"' << std::hex << std::setw(16) << std::setfill('0')
      << XXH3_64bits(body.data(), body.size()) << '"';
  return tag.str();
}

}  // namespace

HttpResponse jsonResponse(int status, const nlohmann::json& body) {
  HttpResponse response;
  response.status = status;
  // Names may come from requests and need not be valid UTF-8.
  const auto replace = nlohmann::json::error_handler_t::replace;
  response.body = body.dump(-1, ' ', false, replace) + "\n";
  return response;
}

HttpResponse problemResponse(int status, const std::string& title, const nlohmann::json& details) {
  nlohmann::json body = {{"type", "about:blank"}, {"title", title}, {"status", status}};
  body.update(details);
  HttpResponse response = jsonResponse(status, body);
  response.content_type = "application/problem+json";
  return response;
}

HttpResponse taggedResponse(const HttpRequest& request, const nlohmann::json& body) {
  HttpResponse response = jsonResponse(kHttpOk, body);
  const std::string tag = entityTag(response.body);
  response.headers["ETag"] = tag;
  const auto if_none_match = request.headers.find("if-none-match");
  if (if_none_match != request.headers.end() && if_none_match->second == tag) {
    response.status = kHttpNotModified;
    response.body.clear();
  }
  return response;
}

}  // namespace lugfork
