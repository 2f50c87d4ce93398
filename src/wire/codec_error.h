#pragma once

#include "common/result.h"

namespace lugfork {

/** Reason for which received bytes were rejected as a message. */
enum class CodecError { TooLarge, Malformed, TrailingBytes, UnknownType, BadField };

/** @return the stable name of a codec error for logs and metrics. */
const char* toString(CodecError error);

}  // namespace lugfork
