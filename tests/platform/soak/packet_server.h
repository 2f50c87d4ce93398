#pragma once

#include <map>
#include <memory>

#include "platform/packetd_fixture.h"
#include "platform/soak/packet_text.h"
#include "platform/soak/promise_monitor.h"
#include "platform/soak/zone_cut.h"

namespace lugfork::soak {

/** One start of a server: speaks the flow protocol and answers each request at once. */
class PacketServer {
 public:
  /** What clients have sent, so that a server can tell when an opening was sent. */
  using SentTimes = std::map<std::pair<Endpoint, Endpoint>, SoakTime>;

  PacketServer(std::uint64_t server_id, std::string service, std::string zone,
               const ZoneCut& zone_cut, PromiseMonitor& monitor, const SentTimes& sent_times)
      : server_id_(server_id),
        service_(std::move(service)),
        zone_(std::move(zone)),
        zone_cut_(zone_cut),
        monitor_(monitor),
        sent_times_(sent_times) {}

  std::string name() const {
    char text[24];
    std::snprintf(text, sizeof(text), "i-%010llx", static_cast<unsigned long long>(server_id_));
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

  /** While silent, a server reads what comes and answers nothing. */
  void setSilent(bool silent) { is_silent_ = silent; }

  /** Forgets all flows, as a new process would. */
  void forgetFlows() { flows_.clear(); }

  /** Reads one datagram and answers it. */
  void onReadable() {
    const auto [bytes, balancer] = socket_.receiveFrom();
    const bool is_reached = !is_silent_ && !zone_cut_.separates(balancer, zone_);
    if (!is_reached || bytes.size() < kPrefixBytes || !isMeant(bytes)) {
      return;
    }
    const auto packet = EndPacket::decode(std::span(bytes).subspan(kPrefixBytes));
    if (packet) {
      onPacket(*packet);
    }
  }

 private:
  static constexpr std::size_t kPrefixBytes = 8;
  static constexpr std::uint32_t kServerSum = 1;

  struct Flow {
    std::uint32_t next_from_client = 0;
    std::uint32_t next_of_ours = 0;
    std::string last_answer;
  };
  using FlowName = std::pair<Endpoint, Endpoint>;

  bool isMeant(const std::vector<std::uint8_t>& bytes) const {
    std::uint64_t meant = 0;
    for (std::size_t index = 0; index < kPrefixBytes; ++index) {
      meant = (meant << 8) | bytes[index];
    }
    return meant == 0 || meant == server_id_;
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
      send(packet, EndPacket::kFin | EndPacket::kAck, found->second.next_of_ours,
           packet.sequence + 1, "");
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
      flow.next_of_ours += static_cast<std::uint32_t>(packet.data.size());
    }
    const auto answer_bytes = static_cast<std::uint32_t>(flow.last_answer.size());
    send(packet, EndPacket::kAck, flow.next_of_ours - answer_bytes, flow.next_from_client,
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
    packet.sum = kServerSum;
    packet.data = data;
    socket_.send({to.source.address, client_port_}, packet.encode());
  }

 public:
  /** Port at which clients take packets, the number that balancers have. */
  void setClientPort(std::uint16_t port) { client_port_ = port; }

 private:
  static constexpr std::uint32_t kFirstSequence = 5000;

  const std::uint64_t server_id_;
  const std::string service_;
  const std::string zone_;
  const ZoneCut& zone_cut_;
  PromiseMonitor& monitor_;
  const SentTimes& sent_times_;
  platform::TestSocket socket_;
  std::uint16_t client_port_ = 0;
  bool is_silent_ = false;
  std::map<FlowName, Flow> flows_;
};

}  // namespace lugfork::soak
