#pragma once

#include <optional>
#include <string_view>

#include "common/ids.h"

namespace lugfork {

/**
 * Reads "a.b.c.d:port".
 * @return the endpoint, or nothing when the text is no IPv4 address with a port of 1 to 65535.
 */
std::optional<Endpoint> parseEndpoint(std::string_view text);

}  // namespace lugfork
