#include "sim/baseline_router.h"

#include <xxhash.h>

#include <cmath>
#include <limits>

#include "wire/datagram_codec.h"

namespace lugfork {

namespace {

constexpr std::uint32_t kRetryAfterMilliseconds = 1000;

std::uint64_t hashOf(std::uint64_t first, std::uint64_t second, std::uint64_t seed) {
  const std::uint64_t content[] = {first, second};
  return XXH3_64bits_withSeed(content, sizeof(content), seed);
}

std::uint64_t hashOf(const FlowId& flow, std::uint64_t seed) {
  return hashOf(flow.high, flow.low, seed);
}

using Backends = std::vector<const Backend*>;

/** Common part of both baselines: parsing, the local view, and refusals of backends. */
class HashingRouter : public BaselineRouter {
 public:
  HashingRouter(const Node& node, const TimeSource& time_source, DatagramSender& sender)
      : node_(node), time_source_(time_source), sender_(sender) {}

  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint) override {
    const auto decoded = decodeDatagram(bytes);
    if (!decoded || node_.configuration().inForce() == nullptr) {
      return;
    }
    if (const auto* sprayed = std::get_if<Sprayed>(&decoded.value())) {
      onClientDatagram(sprayed->datagram, sprayed->client);
    } else if (const auto* refusal = std::get_if<BackendRefusal>(&decoded.value())) {
      onBackendRefusal(*refusal);
    }
  }

 protected:
  /** @return the backend for a flow, chosen among the candidates in this balancer's view. */
  virtual const Backend* choose(const Service& service, const FlowKey& key,
                                const Backends& candidates) = 0;

 private:
  void onClientDatagram(const Bytes& bytes, Endpoint client) {
    const auto decoded = decodeDatagram(bytes);
    if (!decoded) {
      return;
    }
    const Datagram& datagram = decoded.value();
    if (const auto* open = std::get_if<Open>(&datagram)) {
      onOpen(*open, client);
    } else if (const auto* data = std::get_if<Data>(&datagram)) {
      forward(data->service, data->key, bytes, client);
    } else if (const auto* ack = std::get_if<AnswerAck>(&datagram)) {
      forward(ack->service, ack->key, bytes, client);
    } else if (const auto* cancel = std::get_if<Cancel>(&datagram)) {
      forward(cancel->service, cancel->key, bytes, client);
    }
  }

  void onOpen(const Open& open, Endpoint client) {
    const ConfigurationView& view = *node_.configuration().inForce();
    const Backend* backend = chooseFor(open.service, open.key);
    if (backend == nullptr) {
      sender_.sendDatagram(
          client, Refused{open.key, Reason::NoBackendInAllowedZones, kRetryAfterMilliseconds, {}});
      return;
    }
    // Clients and backends need a token for its time of placement; it isn't used for routing.
    Placement placement;
    placement.key = open.key;
    placement.service = backend->service;
    placement.backend = backend->id;
    placement.zone = backend->zone;
    placement.backend_address = backend->address;
    placement.config_version = view.version();
    placement.placed_at = time_source_.systemTime();
    sender_.sendDatagram(client, Placed{open.key, sealToken(placement, *view.sealingKey())});
  }

  void forward(Endpoint service, const FlowKey& key, const Bytes& bytes, Endpoint client) {
    const Backend* backend = chooseFor(service, key);
    if (backend != nullptr) {
      sender_.sendDatagram(backend->address, Forward{client, backend->id, backend->service,
                                                     ForwardMode::MayStart, bytes});
    }
  }

  void onBackendRefusal(const BackendRefusal& refusal) {
    if (refusal.not_run) {
      sender_.sendDatagram(
          refusal.client,
          Refused{refusal.key, refusal.reason, refusal.retry_after_ms, {}, RefusalScope::Attempt});
    } else {
      sender_.sendDatagram(refusal.client,
                           Reset{refusal.key, refusal.reason, refusal.retry_after_ms});
    }
  }

  const Backend* chooseFor(Endpoint address, const FlowKey& key) {
    const ConfigurationView& view = *node_.configuration().inForce();
    const Service* service = view.serviceAt(address);
    if (service == nullptr) {
      return nullptr;
    }
    Backends candidates;
    for (const Backend* backend : view.backendsOf(service->id)) {
      if (service->allowsZone(backend->zone) && node_.loads().mayPlace(*backend)) {
        candidates.push_back(backend);
      }
    }
    return choose(*service, key, candidates);
  }

  const Node& node_;
  const TimeSource& time_source_;
  DatagramSender& sender_;
};

/** Maglev lookup table (Eisenbud et al., NSDI 2016) for one set of backends. */
class MaglevTable {
 public:
  explicit MaglevTable(const Backends& backends) : entries_(kSize, kEmpty) {
    std::vector<std::uint64_t> next(backends.size(), 0);
    std::size_t filled = 0;
    while (filled < kSize) {
      for (std::size_t index = 0; index < backends.size() && filled < kSize; ++index) {
        entries_[freeSlot(*backends[index], next[index])] = backends[index]->id.value();
        ++filled;
      }
    }
  }

  BackendId lookUp(const FlowId& flow) const {
    return BackendId(entries_[hashOf(flow, 0) % kSize]);
  }

 private:
  static constexpr std::size_t kSize = 2039;
  static constexpr std::uint32_t kEmpty = 0;

  /** @return the next empty slot in the backend's permutation. */
  std::size_t freeSlot(const Backend& backend, std::uint64_t& next) const {
    const std::uint64_t offset = hashOf(backend.id.value(), 0, 1) % kSize;
    const std::uint64_t skip = hashOf(backend.id.value(), 0, 2) % (kSize - 1) + 1;
    std::size_t slot = (offset + next * skip) % kSize;
    while (entries_[slot] != kEmpty) {
      ++next;
      slot = (offset + next * skip) % kSize;
    }
    ++next;
    return slot;
  }

  std::vector<std::uint32_t> entries_;
};

class MaglevTableRouter : public HashingRouter {
 public:
  using HashingRouter::HashingRouter;

 private:
  const Backend* choose(const Service& service, const FlowKey& key,
                        const Backends& candidates) override {
    const auto entry = flows_.find(key);
    if (entry != flows_.end()) {
      for (const Backend* backend : candidates) {
        if (backend->id == entry->second) {
          return backend;
        }
      }
    }
    if (candidates.empty()) {
      return nullptr;
    }
    const BackendId chosen = tableFor(service, candidates).lookUp(key.flow);
    flows_[key] = chosen;
    for (const Backend* backend : candidates) {
      if (backend->id == chosen) {
        return backend;
      }
    }
    return nullptr;
  }

  const MaglevTable& tableFor(const Service& service, const Backends& candidates) {
    CachedTable& cached = tables_[service.id];
    std::vector<BackendId> ids;
    for (const Backend* backend : candidates) {
      ids.push_back(backend->id);
    }
    if (cached.table == nullptr || cached.backends != ids) {
      cached.backends = ids;
      cached.table = std::make_unique<MaglevTable>(candidates);
    }
    return *cached.table;
  }

  struct CachedTable {
    std::vector<BackendId> backends;
    std::unique_ptr<MaglevTable> table;
  };

  std::unordered_map<FlowKey, BackendId> flows_;
  std::unordered_map<ServiceId, CachedTable> tables_;
};

class RendezvousRouter : public HashingRouter {
 public:
  using HashingRouter::HashingRouter;

 private:
  const Backend* choose(const Service&, const FlowKey& key, const Backends& candidates) override {
    const Backend* best = nullptr;
    double best_score = -std::numeric_limits<double>::infinity();
    for (const Backend* backend : candidates) {
      const std::uint64_t hash = hashOf(key.flow, backend->id.value());
      const double unit = (static_cast<double>(hash >> 11) + 1) * 0x1.0p-53;
      const double score = -static_cast<double>(backend->slots) / std::log(unit);
      if (score > best_score) {
        best = backend;
        best_score = score;
      }
    }
    return best;
  }
};

}  // namespace

const std::vector<std::string>& routerKindNames() {
  static const std::vector<std::string> kNames = {"token", "maglev-table", "rendezvous"};
  return kNames;
}

std::unique_ptr<BaselineRouter> makeBaselineRouter(RouterKind kind, const Node& node,
                                                   const TimeSource& time_source,
                                                   DatagramSender& sender) {
  switch (kind) {
    case RouterKind::MaglevTable:
      return std::make_unique<MaglevTableRouter>(node, time_source, sender);
    case RouterKind::Rendezvous:
      return std::make_unique<RendezvousRouter>(node, time_source, sender);
    case RouterKind::Token:
      break;
  }
  return nullptr;
}

}  // namespace lugfork
