#pragma once

#include <civetweb.h>

#include <string>

namespace lugfork {

/** @return the text percent-encoded for a query, except for unreserved characters. */
inline std::string urlEncode(const std::string& text) {
  // Three characters per byte, and the null terminator.
  std::string encoded(3 * text.size() + 1, '\0');
  const int size = mg_url_encode(text.c_str(), encoded.data(), encoded.size());
  encoded.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
  return encoded;
}

}  // namespace lugfork
