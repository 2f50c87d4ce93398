#pragma once

#include <string>

#include "discovery/item_source.h"
#include "runtime/http_get_client.h"

namespace lugfork {

/** @return the body of a response with status 200, or the error of item sources for any other. */
Result<std::string, SourceError> bodyOrError(Result<HttpGetReply, HttpGetError> reply);

}  // namespace lugfork
