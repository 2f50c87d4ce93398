#include "sim/call_generator.h"

#include <cmath>

#include "wire/datagram_codec.h"

namespace lugfork {

namespace {

constexpr Endpoint kClientAddress{0x0a090001, 5000};
constexpr Duration kTickInterval = milliseconds(20);
/** Delay before the first calls, so that the fleet can read its configuration. */
constexpr Duration kWarmUp = seconds(3);

}  // namespace

CallGenerator::CallGenerator(const Scenario& scenario, Fleet& fleet)
    : scenario_(scenario), fleet_(fleet), process_(fleet.clients()) {
  fleet_.network().attachDatagrams(
      kClientAddress, process_,
      [this](std::span<const std::uint8_t> bytes, Endpoint) { onDatagram(bytes); });
}

void CallGenerator::start() {
  process_.start();
  ends_at_ = fleet_.queue().now() + kWarmUp + scenario_.duration;
  fleet_.queue().scheduleAfter(kWarmUp, [this] {
    for (const CallMix& mix : scenario_.calls) {
      scheduleNextCall(mix);
      scheduleBursts(mix);
    }
  });
  fleet_.queue().repeat(kTickInterval, [this] {
    process_.run([this] { tick(); });
    return true;
  });
}

bool CallGenerator::isDone() const {
  return fleet_.queue().now() >= ends_at_ && calls_.empty();
}

void CallGenerator::recordUnfinished() {
  for (const auto& [flow, call] : calls_) {
    finish(call);
  }
  calls_.clear();
}

void CallGenerator::scheduleNextCall(const CallMix& mix) {
  if (mix.rate_per_second <= 0) {
    return;
  }
  const double wait_seconds = -std::log(1 - fleet_.random().unit()) / mix.rate_per_second;
  const Duration wait(static_cast<std::int64_t>(wait_seconds * Duration(seconds(1)).count()));
  if (fleet_.queue().now() + wait >= ends_at_) {
    return;
  }
  fleet_.queue().scheduleAfter(wait, [this, &mix] {
    process_.run([this, &mix] { beginCall(mix); });
    scheduleNextCall(mix);
  });
}

void CallGenerator::scheduleBursts(const CallMix& mix) {
  if (mix.burst_interval == Duration::zero()) {
    return;
  }
  fleet_.queue().repeat(mix.burst_interval, [this, &mix] {
    if (fleet_.queue().now() >= ends_at_) {
      return false;
    }
    for (std::uint32_t index = 0; index < mix.burst_size; ++index) {
      process_.run([this, &mix] { beginCall(mix); });
    }
    return true;
  });
}

void CallGenerator::beginCall(const CallMix& mix) {
  const Service* service = nullptr;
  for (const Service& candidate : fleet_.configuration().document().services) {
    service = candidate.name == mix.service ? &candidate : service;
  }
  ActiveCall call;
  call.record.service = service->id;
  call.record.kind = mix.order.kind;
  call.record.expected_pieces = mix.order.answer_pieces;
  call.record.started_at = fleet_.queue().now();
  call.model = std::make_unique<CallerModel>(
      CallerSettings(), service->address, service->id, mix.order, mix.deadline,
      process_.timeSource(), fleet_.random(), [this](const Datagram& datagram) { send(datagram); });
  call.record.flow = call.model->observation().flow;
  const auto [entry, inserted] = calls_.emplace(call.record.flow, std::move(call));
  entry->second.model->start();
}

void CallGenerator::send(const Datagram& datagram) {
  const Endpoint balancer = fleet_.fabric().choose();
  if (balancer.isSet()) {
    fleet_.network().sendDatagram(
        process_, kClientAddress, balancer,
        encodeDatagram(Sprayed{kClientAddress, encodeDatagram(datagram)}));
  }
}

void CallGenerator::onDatagram(std::span<const std::uint8_t> bytes) {
  const auto decoded = decodeDatagram(bytes);
  const auto flow = decoded ? flowOfReply(decoded.value()) : std::nullopt;
  const auto found = flow ? calls_.find(*flow) : calls_.end();
  if (found == calls_.end()) {
    return;
  }
  ActiveCall& call = found->second;
  const Datagram& datagram = decoded.value();
  const auto* refused = std::get_if<Refused>(&datagram);
  if (const auto* placed = std::get_if<Placed>(&datagram)) {
    recordPlacement(placed->key, placed->token);
  }
  drive(
      call, [&] { call.model->onDatagram(datagram); }, refused);
  if (call.record.result) {
    finish(call);
    calls_.erase(found);
  }
}

void CallGenerator::tick() {
  for (auto entry = calls_.begin(); entry != calls_.end();) {
    ActiveCall& call = entry->second;
    drive(
        call, [&] { call.model->onTick(); }, nullptr);
    if (call.record.result) {
      finish(call);
      entry = calls_.erase(entry);
    } else {
      ++entry;
    }
  }
}

void CallGenerator::drive(ActiveCall& call, const std::function<void()>& input,
                          const Refused* refused) {
  const CallerFlow& flow = call.model->flow();
  const FlowKey key = flow.key();
  const std::uint32_t breaks = flow.brokenAttemptCount();
  const bool backed_off = flow.isBackingOff();
  const MonotonicTime now = fleet_.queue().now();
  input();
  if (flow.brokenAttemptCount() > breaks) {
    call.record.breaks.push_back({key, now, flow.lastReason()});
  }
  const bool moved_on = flow.key() != key || flow.result() || flow.isBackingOff();
  if (refused != nullptr && refused->key == key && !backed_off && moved_on) {
    fleet_.observations().refusals.push_back(
        {key, refused->reason, !refused->replacement.empty(), refused->retry_after_ms, now});
    if (flow.key() != key) {
      recordPlacement(flow.key(), refused->replacement);
    }
  }
  if (flow.result()) {
    call.record.result = flow.result();
    call.record.retry_after = flow.retryAfter();
    call.record.ended_at = now;
  }
}

void CallGenerator::recordPlacement(const FlowKey& key, const TokenBytes& token) {
  const auto opened = openToken(token, key, fleet_.configuration());
  if (opened && placements_seen_.insert(key).second) {
    fleet_.observations().placements.push_back({key, opened.value().backend, fleet_.queue().now()});
  }
}

void CallGenerator::finish(const ActiveCall& call) {
  CallRecord record = call.record;
  record.pieces = call.model->observation().pieces;
  record.wrong_pieces = call.model->observation().wrong_pieces;
  fleet_.observations().calls.push_back(std::move(record));
}

}  // namespace lugfork
