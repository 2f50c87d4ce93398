#pragma once

#include <functional>
#include <map>
#include <optional>

#include "common/random_generator.h"
#include "platform/soak/packet_backend.h"

namespace lugfork::soak {

/** Clients behind one address: each opens a flow, sends some requests on it, and closes it. */
class PacketClient {
 public:
  /** Sends a packet through the balancer that the routers pick. */
  using Route = std::function<void(const EndPacket& packet)>;

  PacketClient(std::uint32_t address, RandomGenerator& random, PromiseMonitor& monitor,
               PacketBackend::SentTimes& sent_times, Route route)
      : address_(address),
        random_(random),
        monitor_(monitor),
        sent_times_(sent_times),
        route_(std::move(route)) {}

  std::size_t requestsSent() const { return sent_requests_; }
  std::size_t served() const { return served_; }
  /** @return number of flows whose opening was sent, and of those that a backend accepted. */
  std::size_t flowsStarted() const { return flows_started_; }
  std::size_t flowsOpened() const { return flows_opened_; }

  /** Opens a flow to a route; its requests belong to the service, any one if empty. */
  void open(Endpoint route, const std::string& service) {
    const Endpoint source{address_, next_port_};
    next_port_ = next_port_ == kLastPort ? kFirstPort : static_cast<std::uint16_t>(next_port_ + 1);
    Flow flow;
    flow.source = source;
    flow.route = route;
    flow.service = service;
    flow.requests_left = 1 + static_cast<int>(random_.below(kMaxRequests));
    flow.step_at = SoakClock::now();
    sent_times_[{source, route}] = flow.step_at;
    flows_[source.port] = flow;
    ++flows_started_;
    sendOpening(flows_[source.port]);
  }

  /** @param sender a backend, or the balancer that resets a flow. */
  void onPacket(const EndPacket& packet, Endpoint sender) {
    const auto found = flows_.find(packet.destination.port);
    if (found == flows_.end() || found->second.route != packet.source) {
      return;
    }
    Flow& flow = found->second;
    if (packet.has(EndPacket::kReset)) {
      onReset(flow, packet, sender);
      finish(found);
    } else if (packet.has(EndPacket::kSyn)) {
      onOpened(flow, packet);
    } else if (!packet.data.empty()) {
      onAnswer(flow, packet);
    }
  }

  /** Sends due retransmissions and next requests, and closes flows that have timed out. */
  void tick(SoakTime now) {
    for (auto entry = flows_.begin(); entry != flows_.end();) {
      const auto current = entry++;
      Flow& flow = current->second;
      const auto waited = now - flow.step_at;
      if (flow.state == State::Pausing && waited > kPause) {
        sendNext(current);
      } else if (flow.state != State::Pausing && waited > kRequestTimeout) {
        finish(current);
      } else if (flow.state != State::Pausing &&
                 flow.retransmissions < kRetransmissionTimes.size() &&
                 waited > kRetransmissionTimes[flow.retransmissions]) {
        ++flow.retransmissions;
        resend(flow);
      }
    }
  }

  /** Sets the lookup of a flow's backend by the token that its packets echo. */
  void setBackendNames(std::function<std::string(std::uint32_t echo, Endpoint source)> names) {
    backend_names_ = std::move(names);
  }

 private:
  enum class State { Opening, AwaitingAnswer, Pausing };

  struct Flow {
    Endpoint source;
    Endpoint route;
    std::string service;
    State state = State::Opening;
    std::uint32_t echo = 0;
    std::uint32_t next_local = kFirstSequence + 1;
    std::uint32_t next_from_backend = 0;
    RequestId request = 0;
    int requests_left = 1;
    std::size_t retransmissions = 0;
    SoakTime step_at;
  };
  using Flows = std::map<std::uint16_t, Flow>;

  static constexpr std::uint16_t kFirstPort = 10000;
  static constexpr std::uint16_t kLastPort = 60000;
  static constexpr std::uint32_t kFirstSequence = 1000;
  static constexpr std::uint64_t kMaxRequests = 8;
  static constexpr std::chrono::milliseconds kPause{300};
  static constexpr std::chrono::milliseconds kRequestTimeout{3000};
  static constexpr std::array<std::chrono::milliseconds, 3> kRetransmissionTimes{
      std::chrono::milliseconds(200), std::chrono::milliseconds(600),
      std::chrono::milliseconds(1400)};

  void sendOpening(const Flow& flow) {
    send(flow, EndPacket::kSyn, kFirstSequence, static_cast<std::uint32_t>(flow.retransmissions),
         "");
  }

  void onOpened(Flow& flow, const EndPacket& packet) {
    if (flow.state != State::Opening) {
      return;
    }
    ++flows_opened_;
    flow.echo = packet.echo;
    flow.next_from_backend = packet.sequence + 1;
    sendRequest(flow);
  }

  void sendRequest(Flow& flow) {
    flow.state = State::AwaitingAnswer;
    flow.request = next_request_++;
    flow.retransmissions = 0;
    flow.step_at = SoakClock::now();
    --flow.requests_left;
    ++sent_requests_;
    monitor_.onRequestSent(flow.request, flow.service);
    resend(flow);
  }

  void onAnswer(Flow& flow, const EndPacket& packet) {
    flow.echo = packet.echo;
    if (flow.state != State::AwaitingAnswer || packet.sequence != flow.next_from_backend) {
      return;
    }
    monitor_.onAnswer(flow.request, std::stoull(packet.data));
    ++served_;
    flow.next_local += static_cast<std::uint32_t>(packet.data.size());
    flow.next_from_backend += static_cast<std::uint32_t>(packet.data.size());
    flow.state = State::Pausing;
    flow.step_at = SoakClock::now();
    send(flow, EndPacket::kAck, flow.next_local, flow.next_from_backend, "");
  }

  void onReset(const Flow& flow, const EndPacket& packet, Endpoint sender) {
    const bool is_open = flow.state != State::Opening;
    if (is_open && packet.sum == 0 && backend_names_) {
      monitor_.onForeignReset(toString(flow.source), backend_names_(flow.echo, flow.source), sender,
                              SoakClock::now());
    }
  }

  void sendNext(Flows::iterator entry) {
    if (entry->second.requests_left > 0) {
      sendRequest(entry->second);
    } else {
      finish(entry);
    }
  }

  void finish(Flows::iterator entry) {
    const Flow& flow = entry->second;
    if (flow.state != State::Opening) {
      send(flow, EndPacket::kFin | EndPacket::kAck, flow.next_local, flow.next_from_backend, "");
    }
    sent_times_.erase({flow.source, flow.route});
    flows_.erase(entry);
  }

  void resend(const Flow& flow) {
    if (flow.state == State::Opening) {
      sendOpening(flow);
    } else {
      send(flow, EndPacket::kAck, flow.next_local, flow.next_from_backend,
           std::to_string(flow.request));
    }
  }

  void send(const Flow& flow, std::uint8_t flags, std::uint32_t sequence,
            std::uint32_t acknowledged, const std::string& data) {
    EndPacket packet;
    packet.source = flow.source;
    packet.destination = flow.route;
    packet.echo = flow.echo;
    packet.sequence = sequence;
    packet.acknowledged = acknowledged;
    packet.flags = flags;
    packet.sum = 1;
    packet.data = data;
    route_(packet);
  }

  const std::uint32_t address_;
  RandomGenerator& random_;
  PromiseMonitor& monitor_;
  PacketBackend::SentTimes& sent_times_;
  Route route_;
  std::function<std::string(std::uint32_t, Endpoint)> backend_names_;
  Flows flows_;
  std::uint16_t next_port_ = kFirstPort;
  RequestId next_request_ = 1000000;
  std::size_t sent_requests_ = 0;
  std::size_t served_ = 0;
  std::size_t flows_started_ = 0;
  std::size_t flows_opened_ = 0;
};

}  // namespace lugfork::soak
