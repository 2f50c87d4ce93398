#include "common/endpoint_parser.h"

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>

namespace lugfork {

std::optional<Endpoint> parseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code failure;
  const auto address =
      boost::asio::ip::make_address_v4(std::string(text.substr(0, colon)), failure);
  if (failure) {
    return std::nullopt;
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto [rest, status] = std::from_chars(port_text.data(), end, port);
  if (status != std::errc{} || rest != end || port == 0) {
    return std::nullopt;
  }
  return Endpoint{address.to_uint(), port};
}

}  // namespace lugfork
