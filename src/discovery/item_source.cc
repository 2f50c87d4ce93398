#include "discovery/item_source.h"

namespace lugfork {

const char* toString(SourceError error) {
  switch (error) {
    case SourceError::NotFound:
      return "not_found";
    case SourceError::HistoryGone:
      return "history_gone";
    case SourceError::Throttled:
      return "throttled";
    case SourceError::Unavailable:
      return "unavailable";
    case SourceError::NoAnswer:
      return "no_answer";
    case SourceError::Malformed:
      return "malformed";
  }
  return "unknown";
}

}  // namespace lugfork
