#pragma once

#include <optional>
#include <vector>

#include "flow/flow_router.h"
#include "wire/datagram_codec.h"

/** A FlowRouter with a manual clock, recorded output and a small configuration. */
namespace lugfork {

struct ManualTimeSource : TimeSource {
  Duration elapsed = seconds(1000);
  MonotonicTime monotonicTime() const override { return MonotonicTime(elapsed); }
  SystemTime systemTime() const override { return SystemTime(elapsed); }
};

inline const Endpoint kListen{0x0a140001, 443};
inline const Endpoint kIngest{0x0a140002, 443};
inline const Endpoint kClient{0x7f000001, 5000};
inline const Endpoint kUnknownEndpoint{0x7f000009, 6666};
inline const ZoneId kLac{1};
inline const ZoneId kAriana{2};

/** Derives a backend's address from its id. */
inline Endpoint addressOf(std::uint32_t backend) {
  return Endpoint{0x7f000100 + backend, 9000};
}

inline Backend makeBackend(std::uint32_t id, ServiceId service, ZoneId zone) {
  Backend backend;
  backend.id = BackendId(id);
  backend.name = "backend-" + std::to_string(id);
  backend.service = service;
  backend.zone = zone;
  backend.address = addressOf(id);
  backend.slots = 2;
  backend.connections = 2000;
  return backend;
}

/**
 * Service 1 (listen): backends 1 and 2 in lac, and 3 in ariana, which is not allowed. Service 2
 * (ingest): backend 4.
 */
inline Configuration twoServices(std::uint64_t version = 10) {
  Configuration configuration;
  configuration.version = ConfigVersion(version);
  configuration.zones = {{kLac, "lac", "tunis"}, {kAriana, "ariana", "tunis"}};
  configuration.services = {{ServiceId(1), "listen", kListen, {kLac}},
                            {ServiceId(2), "ingest", kIngest, {kLac}}};
  configuration.backends = {makeBackend(1, ServiceId(1), kLac), makeBackend(2, ServiceId(1), kLac),
                            makeBackend(3, ServiceId(1), kAriana),
                            makeBackend(4, ServiceId(2), kLac)};
  TokenKey key;
  key.id = KeyId(1);
  key.secret.fill(0x5a);
  key.seals = true;
  configuration.keys = {key};
  return configuration;
}

inline ConfigurationViewPtr viewOf(Configuration configuration) {
  return std::make_shared<const ConfigurationView>(std::move(configuration));
}

class RouterHarness : public DatagramSender, public FlowRouterHost {
 public:
  struct Sent {
    Endpoint destination;
    Datagram datagram;
  };

  explicit RouterHarness(Configuration configuration = twoServices()) {
    router.setConfiguration(viewOf(std::move(configuration)));
  }

  void sendDatagram(Endpoint destination, const Datagram& datagram) override {
    sent.push_back({destination, datagram});
  }
  Reason placementBlockedBy() const override { return blocked_by; }
  void onNewerConfigurationSeen(ConfigVersion version) override { newer_seen = version; }
  void onBackendDraining(BackendId backend) override { draining_seen = backend; }

  void receive(const Datagram& datagram, Endpoint from = kClient) {
    router.onDatagram(encodeDatagram(datagram), from);
  }

  /** @return the only datagram sent since the last call, if it is of the given type. */
  template <typename Body>
  std::optional<Body> takeOnly() {
    if (sent.size() != 1 || !std::holds_alternative<Body>(sent[0].datagram)) {
      sent.clear();
      return std::nullopt;
    }
    const Body body = std::get<Body>(sent[0].datagram);
    last_destination = sent[0].destination;
    sent.clear();
    return body;
  }

  /** Opens a flow of the listen service. @return the token. */
  TokenBytes open(const FlowKey& key) {
    receive(Open{kListen, key});
    const auto placed = takeOnly<Placed>();
    return placed ? placed->token : TokenBytes();
  }

  ManualTimeSource time;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(7);
  BackendLoadTable loads{LoadEstimateSettings(), time};
  PlacementEngine placement{PlacementSettings(), makePlacementPolicy("power_of_two"), loads, time,
                            *random};
  FlowRouter router{FlowRouterSettings(), time, *this, placement, loads, *this};
  std::vector<Sent> sent;
  Endpoint last_destination;
  Reason blocked_by = Reason::None;
  std::optional<ConfigVersion> newer_seen;
  std::optional<BackendId> draining_seen;
};

}  // namespace lugfork
