#pragma once

#include <span>

#include "wire/codec_error.h"
#include "wire/peer_message.h"

namespace lugfork {

/** @return the message as it goes into a ZeroMQ frame (msgpack). */
Bytes encodePeerMessage(const PeerMessage& message);

/** Reads a peer message. @return the message, or why the bytes are none. */
Result<PeerMessage, CodecError> decodePeerMessage(std::span<const std::uint8_t> bytes);

}  // namespace lugfork
