#pragma once

#include <span>

#include "wire/codec_error.h"
#include "wire/datagram.h"

namespace lugfork {

/** @return the datagram as it goes on the wire (msgpack). */
Bytes encodeDatagram(const Datagram& datagram);

/**
 * Reads a datagram from the wire.
 * @return the datagram, or why the bytes are none: too large, malformed, of an unknown type, or
 * with a field outside its range.
 */
Result<Datagram, CodecError> decodeDatagram(std::span<const std::uint8_t> bytes);

}  // namespace lugfork
