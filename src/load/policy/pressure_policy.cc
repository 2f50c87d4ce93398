#include "load/policy/pressure_policy.h"

#include "load/policy/response_time_policy.h"
#include "load/policy/share_policy.h"

namespace lugfork {

std::unique_ptr<PressurePolicy> makePressurePolicy(std::string_view name,
                                                   const PressureSettings& settings) {
  if (name == "response_time") {
    return std::make_unique<ResponseTimePolicy>(settings);
  }
  if (name == "share") {
    return std::make_unique<SharePolicy>(settings);
  }
  return nullptr;
}

}  // namespace lugfork
