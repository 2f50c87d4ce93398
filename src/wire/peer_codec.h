#pragma once

#include <span>

#include "wire/codec_error.h"
#include "wire/peer_message.h"

namespace lugfork {

/** @return the message encoded for a ZeroMQ frame (msgpack). */
Bytes encodePeerMessage(const PeerMessage& message);

/** Decodes a peer message. @return the message, or the decoding error. */
Result<PeerMessage, CodecError> decodePeerMessage(std::span<const std::uint8_t> bytes);

}  // namespace lugfork
