#pragma once

#include <span>

#include "wire/codec_error.h"
#include "wire/datagram.h"

namespace lugfork {

/** @return the encoded datagram (msgpack). */
Bytes encodeDatagram(const Datagram& datagram);

/**
 * Decodes a datagram.
 * @return the datagram, or the error: too large, malformed, trailing bytes, unknown type, or a
 * field of a wrong type or out of range.
 */
Result<Datagram, CodecError> decodeDatagram(std::span<const std::uint8_t> bytes);

}  // namespace lugfork
