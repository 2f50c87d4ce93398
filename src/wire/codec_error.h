#pragma once

#include "common/result.h"

namespace lugfork {

/** Why bytes from the network were not accepted as a message. */
enum class CodecError { TooLarge, Malformed, TrailingBytes, UnknownType, BadField };

/** Stable name of a codec error, for logs and metrics. */
const char* toString(CodecError error);

}  // namespace lugfork
