#pragma once

#include <civetweb.h>

#include <string>

namespace lugfork {

/** @return the text as it goes into a query, with all but unreserved characters encoded. */
inline std::string urlEncode(const std::string& text) {
  // Three characters for each byte, and the end of the text.
  std::string encoded(3 * text.size() + 1, '\0');
  const int size = mg_url_encode(text.c_str(), encoded.data(), encoded.size());
  encoded.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
  return encoded;
}

}  // namespace lugfork
