#include "cluster/probe_assignment.h"

#include <catch2/catch.hpp>
#include <map>

#include "sim/in_process_fleet.h"

namespace lugfork {
namespace {

MemberRecord memberIn(const std::string& name, const std::string& zone) {
  MemberRecord member;
  member.name = name;
  member.zone = zone;
  return member;
}

/** @return number of members that probe each backend. */
std::map<BackendId, std::size_t> probersOf(const ConfigurationView& view,
                                           const std::vector<MemberRecord>& members) {
  std::map<BackendId, std::size_t> probers;
  for (const MemberRecord& self : members) {
    std::vector<MemberRecord> others = members;
    std::erase(others, self);
    for (const BackendId backend : assignProbes(view, self, others, 2)) {
      ++probers[backend];
    }
  }
  return probers;
}

struct AssignmentCase {
  const char* name;
  std::vector<std::size_t> members_by_zone;
  std::size_t probers_in_zone_1;
};

TEST_CASE("every backend is probed even if its zone has too few balancers or none") {
  InProcessFleetSettings settings;
  settings.backends = 60;
  const ConfigurationView view(InProcessFleet::makeConfiguration(settings));
  const std::vector<AssignmentCase> cases = {
      {"many in each zone", {5, 5, 5}, 2},
      {"one in the zone", {1, 5, 5}, 1},
      {"none in the zone", {0, 5, 5}, 2},
      {"one in the fleet", {0, 1, 0}, 1},
  };
  for (const AssignmentCase& test : cases) {
    INFO(test.name);
    std::vector<MemberRecord> members;
    for (std::size_t zone = 0; zone < test.members_by_zone.size(); ++zone) {
      for (std::size_t index = 0; index < test.members_by_zone[zone]; ++index) {
        const std::string zone_name = "zone-" + std::to_string(zone + 1);
        members.push_back(memberIn(zone_name + "-" + std::to_string(index), zone_name));
      }
    }
    const auto probers = probersOf(view, members);
    CHECK(probers.size() == 60);
    for (const Backend& backend : view.document().backends) {
      if (backend.zone == ZoneId(1)) {
        CHECK(probers.at(backend.id) == test.probers_in_zone_1);
      }
    }
  }
}

TEST_CASE("probe schedule keeps its maximum rate and does not catch up after a pause") {
  ProbeSettings settings;
  BackendProbeSchedule schedule(settings);
  std::vector<BackendId> backends;
  for (std::uint32_t id = 1; id <= 40; ++id) {
    backends.push_back(BackendId(id));
  }
  schedule.setAssignment(backends);
  CHECK(schedule.interval() == seconds(10));
  MonotonicTime now{seconds(100)};
  static_cast<void>(schedule.due(now));
  std::size_t sent = 0;
  for (int tick = 0; tick < 100; ++tick) {
    now += milliseconds(100);
    sent += schedule.due(now).size();
  }
  CHECK(sent == 40);
  CHECK(schedule.due(now + seconds(600)).size() <= 40);
}

}  // namespace
}  // namespace lugfork
