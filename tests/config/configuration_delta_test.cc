#include "config/configuration_delta.h"

#include <catch2/catch.hpp>

#include "config/configuration_store.h"
#include "sim/in_process_fleet.h"

namespace lugfork {
namespace {

Configuration baseConfiguration() {
  return InProcessFleet::makeConfiguration(InProcessFleetSettings());
}

ConfigurationId idOf(const ConfigurationView& view) {
  return {view.version(), configurationDigest(view)};
}

using Change = void (*)(Configuration&);

struct DeltaCase {
  const char* name;
  Change change;
  std::size_t changed;
  std::size_t removed;
};

TEST_CASE("delta contains only the differences and applying it gives the target configuration") {
  const std::vector<DeltaCase> cases = {
      {"nothing", [](Configuration&) {}, 0, 0},
      {"changed", [](Configuration& c) { c.backends[3].draining = true; }, 1, 0},
      {"removed", [](Configuration& c) { c.backends.erase(c.backends.begin() + 5); }, 0, 1},
      {"renamed system", [](Configuration& c) { c.system = "other"; }, 1, 0},
      {"new key",
       [](Configuration& c) {
         c.keys[0].seals = false;
         c.keys.push_back(c.keys[0]);
         c.keys[1].id = KeyId(2);
         c.keys[1].seals = true;
       },
       2, 0},
  };
  const ConfigurationView base(baseConfiguration());
  for (const DeltaCase& test : cases) {
    INFO(test.name);
    Configuration changed = baseConfiguration();
    changed.version = ConfigVersion(2);
    test.change(changed);
    const ConfigurationView target(changed);
    const ConfigurationDelta delta = makeDelta(&base, idOf(base), target, idOf(target));
    CHECK(delta.changed.size() == test.changed);
    CHECK(delta.removed.size() == test.removed);
    const auto applied = applyDelta(&base, idOf(base).digest, delta);
    REQUIRE(applied);
    CHECK(applied.value() == target.document());
  }
}

TEST_CASE("delta with an invalid result or a wrong digest is rejected and changes nothing") {
  ConfigurationStore store;
  store.offer(writeConfigurationDocument(baseConfiguration(), SecretHandling::Include));
  Configuration broken = baseConfiguration();
  broken.version = ConfigVersion(2);
  broken.backends[0].service = ServiceId(99);
  const ConfigurationView target(broken);
  ConfigurationDelta delta = makeDelta(store.inForce().get(), store.id(), target, idOf(target));
  CHECK(store.offerDelta(delta) == OfferOutcome::Invalid);
  CHECK_FALSE(store.lastProblems().empty());
  broken.backends[0].service = ServiceId(1);
  broken.backends[0].draining = true;
  const ConfigurationView valid(broken);
  delta = makeDelta(store.inForce().get(), store.id(), valid, idOf(valid));
  delta.to.digest += 1;
  CHECK(store.offerDelta(delta) == OfferOutcome::Invalid);
  CHECK(store.version() == ConfigVersion(1));
  delta.to.digest -= 1;
  CHECK(store.offerDelta(delta) == OfferOutcome::Adopted);
  delta.to.version = ConfigVersion(3);
  CHECK(store.offerDelta(delta) == OfferOutcome::BaseMissing);
}

TEST_CASE("peer within the history gets one merged delta, any other the full configuration") {
  ConfigurationStore store;
  std::vector<ConfigurationId> ids;
  for (std::uint64_t version = 1; version <= 5; ++version) {
    Configuration configuration = baseConfiguration();
    configuration.version = ConfigVersion(version);
    configuration.backends[version].draining = true;
    store.offer(writeConfigurationDocument(configuration, SecretHandling::Include));
    ids.push_back(store.id());
  }
  const auto delta = store.deltaFrom(ids[2]);
  REQUIRE(delta);
  CHECK(delta->from == ids[2]);
  CHECK(delta->to == ids[4]);
  CHECK(delta->changed.size() == 3);
  const auto full = store.deltaFrom({ConfigVersion(1), 1});
  REQUIRE(full);
  CHECK(full->from == ConfigurationId());
  ConfigurationStore joining;
  CHECK(joining.offerDelta(*full) == OfferOutcome::Adopted);
  CHECK(joining.documentInForce() == store.documentInForce());
}

}  // namespace
}  // namespace lugfork
