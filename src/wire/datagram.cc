#include "wire/datagram.h"

namespace lugfork {

const char* toString(Reason reason) {
  switch (reason) {
    case Reason::None:
      return "none";
    case Reason::NoBackendInAllowedZones:
      return "no_backend_in_allowed_zones";
    case Reason::Overloaded:
      return "overloaded";
    case Reason::Draining:
      return "draining";
    case Reason::ViewNotFresh:
      return "view_not_fresh";
    case Reason::UnknownService:
      return "unknown_service";
    case Reason::TokenInvalid:
      return "token_invalid";
    case Reason::TokenForOtherService:
      return "token_for_other_service";
    case Reason::PlacementExpired:
      return "placement_expired";
    case Reason::ZoneNotAllowed:
      return "zone_not_allowed";
    case Reason::BackendGone:
      return "backend_gone";
    case Reason::DeadlineExceeded:
      return "deadline_exceeded";
    case Reason::Cancelled:
      return "cancelled";
    case Reason::WrongBackend:
      return "wrong_backend";
    case Reason::Joining:
      return "joining";
  }
  return "unknown";
}

}  // namespace lugfork
