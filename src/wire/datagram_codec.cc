#include "wire/datagram_codec.h"

#include "wire/message_codec.h"

namespace lugfork {

const char* toString(CodecError error) {
  switch (error) {
    case CodecError::TooLarge:
      return "too_large";
    case CodecError::Malformed:
      return "malformed";
    case CodecError::TrailingBytes:
      return "trailing_bytes";
    case CodecError::UnknownType:
      return "unknown_type";
    case CodecError::BadField:
      return "bad_field";
  }
  return "unknown";
}

Bytes encodeDatagram(const Datagram& datagram) {
  return message_codec::encodeVariant(datagram);
}

Result<Datagram, CodecError> decodeDatagram(std::span<const std::uint8_t> bytes) {
  if (bytes.size() > kMaxDatagramBytes) {
    return CodecError::TooLarge;
  }
  return message_codec::decodeVariant<Datagram>(bytes.data(), bytes.size());
}

}  // namespace lugfork
