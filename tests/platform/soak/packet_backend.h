#pragma once

#include <map>
#include <memory>

#include "platform/packetd_fixture.h"
#include "platform/soak/packet_text.h"
#include "platform/soak/promise_monitor.h"
#include "platform/soak/zone_partition.h"

namespace lugfork::soak {

/** One incarnation of a backend: speaks the flow protocol and answers each request immediately. */
class PacketBackend {
 public:
  /** Time at which clients sent the opening of each flow, for the checks of time bounds. */
  using SentTimes = std::map<std::pair<Endpoint, Endpoint>, SoakTime>;

  PacketBackend(std::uint64_t backend_number, std::string service, std::string zone,
                const ZonePartition& zone_partition, PromiseMonitor& monitor,
                const SentTimes& sent_times)
      : backend_number_(backend_number),
        service_(std::move(service)),
        zone_(std::move(zone)),
        zone_partition_(zone_partition),
        monitor_(monitor),
        sent_times_(sent_times) {}

  std::string name() const {
    char text[24];
    std::snprintf(text, sizeof(text), "i-%010llx",
                  static_cast<unsigned long long>(backend_number_));
    return text;
  }
  std::string key() const { return "servers/" + name(); }
  const std::string& service() const { return service_; }
  const std::string& zone() const { return zone_; }
  std::string entry(const std::string& state) const {
    return R"({"service":")" + service_ + R"(","address":")" + toString(socket_.address()) +
           R"(","zone":")" + zone_ + R"(","version":"v1","capacity":2,"state":")" + state +
           R"(","warmup_left_ms":0,"seq":1})";
  }
  int descriptor() const { return socket_.descriptor(); }

  /** A silent backend reads packets without answering them. */
  void setSilent(bool silent) { is_silent_ = silent; }

  /** Drops all flow state, as a restart would. */
  void clearFlows() { flows_.clear(); }

  /** Reads one datagram and answers it. */
  void onReadable() {
    const auto [bytes, balancer] = socket_.receiveFrom();
    const bool is_reached = !is_silent_ && !zone_partition_.separates(balancer, zone_);
    if (!is_reached || bytes.size() < kPrefixBytes || !isAddressedHere(bytes)) {
      return;
    }
    const auto packet = EndPacket::decode(std::span(bytes).subspan(kPrefixBytes));
    if (packet) {
      onPacket(*packet);
    }
  }

 private:
  static constexpr std::size_t kPrefixBytes = 8;
  static constexpr std::uint32_t kBackendSum = 1;

  struct Flow {
    std::uint32_t next_from_client = 0;
    std::uint32_t next_local = 0;
    std::string last_answer;
  };
  using FlowName = std::pair<Endpoint, Endpoint>;

  bool isAddressedHere(const std::vector<std::uint8_t>& bytes) const {
    std::uint64_t addressee = 0;
    for (std::size_t index = 0; index < kPrefixBytes; ++index) {
      addressee = (addressee << 8) | bytes[index];
    }
    return addressee == 0 || addressee == backend_number_;
  }

  void onPacket(const EndPacket& packet) {
    const FlowName flow{packet.source, packet.destination};
    if (packet.has(EndPacket::kSyn)) {
      onOpening(flow, packet);
      return;
    }
    const auto found = flows_.find(flow);
    if (found == flows_.end()) {
      send(packet, EndPacket::kReset, packet.acknowledged, packet.sequence, "");
    } else if (packet.has(EndPacket::kFin)) {
      send(packet, EndPacket::kFin | EndPacket::kAck, found->second.next_local, packet.sequence + 1,
           "");
      flows_.erase(found);
    } else if (!packet.data.empty()) {
      onRequest(found->second, packet);
    }
  }

  void onOpening(const FlowName& flow, const EndPacket& packet) {
    const auto sent = sent_times_.find(flow);
    const SoakTime now = SoakClock::now();
    monitor_.onOpening(name(), service_, packet.destination,
                       sent == sent_times_.end() ? now : sent->second, now);
    const auto [entry, is_new] = flows_.try_emplace(flow);
    if (is_new) {
      entry->second = {packet.sequence + 1, kFirstSequence + 1, ""};
    }
    send(packet, EndPacket::kSyn | EndPacket::kAck, kFirstSequence, packet.sequence + 1, "");
  }

  void onRequest(Flow& flow, const EndPacket& packet) {
    if (packet.sequence == flow.next_from_client) {
      flow.next_from_client += static_cast<std::uint32_t>(packet.data.size());
      monitor_.onRun(std::stoull(packet.data), service_, name());
      flow.last_answer = packet.data;
      flow.next_local += static_cast<std::uint32_t>(packet.data.size());
    }
    const auto answer_bytes = static_cast<std::uint32_t>(flow.last_answer.size());
    send(packet, EndPacket::kAck, flow.next_local - answer_bytes, flow.next_from_client,
         flow.last_answer);
  }

  void send(const EndPacket& to, std::uint8_t flags, std::uint32_t sequence,
            std::uint32_t acknowledged, const std::string& data) {
    EndPacket packet;
    packet.source = to.destination;
    packet.destination = to.source;
    packet.echo = to.echo;
    packet.sequence = sequence;
    packet.acknowledged = acknowledged;
    packet.flags = flags;
    packet.sum = kBackendSum;
    packet.data = data;
    socket_.send({to.source.address, client_port_}, packet.encode());
  }

 public:
  /** Port at which clients receive packets, the same number as the balancers' port. */
  void setClientPort(std::uint16_t port) { client_port_ = port; }

 private:
  static constexpr std::uint32_t kFirstSequence = 5000;

  const std::uint64_t backend_number_;
  const std::string service_;
  const std::string zone_;
  const ZonePartition& zone_partition_;
  PromiseMonitor& monitor_;
  const SentTimes& sent_times_;
  platform::TestSocket socket_;
  std::uint16_t client_port_ = 0;
  bool is_silent_ = false;
  std::map<FlowName, Flow> flows_;
};

}  // namespace lugfork::soak
