#include <catch2/catch.hpp>

#include "cluster/fleet_fixture.h"

namespace lugfork {
namespace {

InProcessFleetSettings fleetOf(std::size_t nodes) {
  InProcessFleetSettings settings;
  settings.nodes = nodes;
  return settings;
}

TEST_CASE("nodes discover each other from a partial machine list that contains a dead machine") {
  InProcessFleet fleet(fleetOf(6));
  fleet.machineList().erase(fleet.machineList().begin() + 2, fleet.machineList().end());
  Machine dead = fleet.machineOf(0);
  dead.name = "gone";
  dead.peer_address.port = 9;
  fleet.machineList().push_back(dead);
  fleet.startAll();
  fleet.run(seconds(20));
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    CHECK(fleet.node(index)->clusterStatus().live_members == 5);
    CHECK(fleet.node(index)->membership().member("gone") == nullptr);
  }
}

TEST_CASE("machine list alone neither marks a live member dead nor a dead member alive") {
  auto fleet = settledFleet(fleetOf(5));
  fleet->machineList().clear();
  fleet->run(seconds(20));
  CHECK(fleet->node(0)->clusterStatus().live_members == 4);
  fleet->machineList().push_back(fleet->machineOf(4));
  fleet->kill(4);
  const auto marked_dead = [&] { return fleet->allReportState(4, MemberState::Dead); };
  CHECK(fleet->runUntil(marked_dead, seconds(60)) < seconds(15));
  fleet->run(seconds(30));
  CHECK(marked_dead());
}

TEST_CASE("restarted node rejoins with a higher incarnation") {
  auto fleet = settledFleet(fleetOf(5));
  const std::uint64_t before = fleet->node(0)->membership().member("node-5")->incarnation;
  fleet->kill(4);
  fleet->run(seconds(20));
  REQUIRE(fleet->allReportState(4, MemberState::Dead));
  fleet->start(4);
  const auto alive = [&] { return fleet->allReportState(4, MemberState::Alive); };
  CHECK(fleet->runUntil(alive, seconds(60)) < seconds(10));
  CHECK(fleet->node(0)->membership().member("node-5")->incarnation > before);
}

TEST_CASE("false suspicion is refuted and marks no member dead") {
  auto fleet = settledFleet(fleetOf(6));
  GossipHeader gossip;
  gossip.sender = fleet->node(1)->membership().self();
  gossip.members.push_back(fleet->node(2)->membership().self());
  gossip.members.back().state = MemberState::Suspect;
  fleet->node(0)->onPeerMessage(fleet->machineOf(1).peer_address, GossipPush{gossip});
  REQUIRE(fleet->node(0)->membership().member("node-3")->state == MemberState::Suspect);
  const auto alive = [&] { return fleet->allReportState(2, MemberState::Alive); };
  CHECK(fleet->runUntil(alive, seconds(30)) < seconds(8));
  fleet->run(seconds(20));
  CHECK(alive());
}

TEST_CASE("node unreachable from a single peer stays alive through indirect probes") {
  auto fleet = settledFleet(fleetOf(6));
  fleet->network().cut("node-1", "node-2");
  fleet->network().cut("node-2", "node-1");
  fleet->run(seconds(60));
  CHECK(fleet->allReportState(0, MemberState::Alive));
  CHECK(fleet->allReportState(1, MemberState::Alive));
}

TEST_CASE("zone marked dead during a partition is alive again after it heals") {
  auto fleet = settledFleet(fleetOf(9));
  fleet->cutZone("zone-2");
  fleet->run(seconds(60));
  CHECK(fleet->node(0)->membership().member("node-2")->state == MemberState::Dead);
  fleet->heal();
  fleet->run(seconds(30));
  for (std::size_t index = 0; index < fleet->size(); ++index) {
    CHECK(fleet->node(index)->clusterStatus().live_members == 8);
  }
}

TEST_CASE("simultaneous restart of a third of the nodes leaves every member live") {
  auto fleet = settledFleet(fleetOf(30));
  for (std::size_t index = 0; index < 30; index += 3) {
    fleet->kill(index);
    fleet->start(index);
  }
  fleet->run(seconds(15));
  for (std::size_t index = 0; index < fleet->size(); ++index) {
    CHECK(fleet->node(index)->clusterStatus().live_members == 29);
    CHECK(fleet->node(index)->placementBlockedBy() == Reason::None);
  }
}

TEST_CASE("planned stop reaches all members within 4 s and the leaving node places no flows") {
  auto fleet = settledFleet(fleetOf(30));
  fleet->node(7)->startLeaving();
  CHECK(fleet->node(7)->placementBlockedBy() != Reason::None);
  const auto leaving = [&] { return fleet->allReportState(7, MemberState::Leaving); };
  CHECK(fleet->runUntil(leaving, seconds(30)) < seconds(4));
}

}  // namespace
}  // namespace lugfork
