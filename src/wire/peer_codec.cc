#include "wire/peer_codec.h"

#include "wire/message_codec.h"

namespace lugfork {

Bytes encodePeerMessage(const PeerMessage& message) {
  return message_codec::encodeVariant(message);
}

Result<PeerMessage, CodecError> decodePeerMessage(std::span<const std::uint8_t> bytes) {
  if (bytes.size() > kMaxPeerMessageBytes) {
    return CodecError::TooLarge;
  }
  return message_codec::decodeVariant<PeerMessage>(bytes.data(), bytes.size());
}

}  // namespace lugfork
