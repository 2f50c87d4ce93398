#pragma once

#include <string>

#include "discovery/item_source.h"
#include "runtime/http_get_client.h"

namespace lugfork {

/** Turns the outcome of a GET into the errors of item sources. @return the body of a 200. */
Result<std::string, SourceError> bodyOf(Result<HttpGetReply, HttpGetError> reply);

}  // namespace lugfork
