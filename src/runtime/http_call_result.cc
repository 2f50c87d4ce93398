#include "runtime/http_call_result.h"

namespace lugfork {

namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusGone = 410;
constexpr unsigned kStatusThrottled = 429;
constexpr unsigned kStatusUnavailable = 503;

}  // namespace

Result<std::string, SourceError> bodyOrError(Result<HttpGetReply, HttpGetError> reply) {
  if (!reply) {
    return reply.error() == HttpGetError::NoAnswer ? SourceError::NoAnswer : SourceError::Malformed;
  }
  switch (reply.value().status) {
    case kStatusOk:
      return std::move(reply.value().body);
    case kStatusNotFound:
      return SourceError::NotFound;
    case kStatusGone:
      return SourceError::HistoryGone;
    case kStatusThrottled:
      return SourceError::Throttled;
    case kStatusUnavailable:
      return SourceError::Unavailable;
    default:
      return SourceError::Malformed;
  }
}

}  // namespace lugfork
