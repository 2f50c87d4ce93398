#pragma once

#include <optional>
#include <string_view>

#include "common/ids.h"

namespace lugfork {

/**
 * Parses "a.b.c.d:port".
 * @return the endpoint, or nothing if the text is not an IPv4 address with a port from 1 to 65535.
 */
std::optional<Endpoint> parseEndpoint(std::string_view text);

}  // namespace lugfork
