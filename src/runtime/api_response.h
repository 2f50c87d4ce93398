#pragma once

#include <nlohmann/json.hpp>

#include "runtime/http_server.h"

/** Responses of the resource API: JSON documents, problem documents and entity tags. */
namespace lugfork {

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpNotModified = 304;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpMethodNotAllowed = 405;
inline constexpr int kHttpUnprocessable = 422;
inline constexpr int kHttpUnavailable = 503;

/** @return a response with a JSON document. */
HttpResponse jsonResponse(int status, const nlohmann::json& body);

/** @return a problem document (RFC 9457) with `details` as additional members. */
HttpResponse problemResponse(int status, const std::string& title,
                             const nlohmann::json& details = nlohmann::json::object());

/**
 * @return the document with an entity tag of its content, or 304 if the request's If-None-Match
 * equals that tag.
 */
HttpResponse taggedResponse(const HttpRequest& request, const nlohmann::json& body);

}  // namespace lugfork
