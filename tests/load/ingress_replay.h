#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <vector>

#include "common/random_generator.h"
#include "load/opening_backlog.h"
#include "load/receive_backlog.h"

/**
 * Simulates the packets of one node with little CPU in virtual time: clients that send openings
 * with retransmissions, and open flows.
 */
namespace lugfork {

/** Order in which the node reads and serves packets. */
enum class IngressOrder {
  /** One datagram after the other, in the order of arrival. */
  ArrivalOrder,
  /** Open flows first; openings in the order of OpeningBacklog. */
  OpenFlowsFirst,
};

struct IngressLoad {
  IngressOrder order = IngressOrder::OpenFlowsFirst;
  /** Capacity of the socket [datagrams]. */
  std::size_t socket_capacity = 350;
  /** Flows that clients start [1/s]. */
  double openings_per_second = 200;
  /** Time of the first view; until then the node reads nothing, or reads without serving. */
  Duration first_view_delay{};
  Duration duration = seconds(10);
  OpeningBacklogSettings backlog;
};

struct IngressResult {
  /** Flows whose last packet was forwarded within kDeadline after the start, later, and never. */
  int in_time_count = 0;
  int late_count = 0;
  int never_count = 0;
  /**
   * Openings that were placed although their flow was already placed or the client had given up.
   */
  int useless_placements = 0;
  int lost_count = 0;
  std::vector<Duration> open_flow_delays;

  /** @return the delay of packets of open flows at this quantile [1/1000]. */
  Duration openFlowDelay(std::size_t permille) {
    std::sort(open_flow_delays.begin(), open_flow_delays.end());
    return open_flow_delays.empty()
               ? Duration()
               : open_flow_delays[(open_flow_delays.size() - 1) * permille / 1000];
  }
};

class IngressReplay {
 public:
  /** Elapsed time on 0.038 of a core for 4 us to read, 30 us to forward and 60 us to place. */
  static constexpr Duration kReadTime{105};
  static constexpr Duration kForwardTime{790};
  static constexpr Duration kPlaceTime{1580};
  static constexpr std::size_t kBatchSize = 32;
  /**
   * Number of packets after an opening; each is sent kResponseTime after the previous one was
   * forwarded.
   */
  static constexpr int kFollowingPackets = 4;
  static constexpr Duration kResponseTime = milliseconds(20);
  static constexpr Duration kRetransmissionTimeout = milliseconds(200);
  static constexpr Duration kClientTimeout = milliseconds(1400);
  static constexpr Duration kDeadline = milliseconds(400);

  explicit IngressReplay(IngressLoad load) : load_(load) {}

  IngressResult run() {
    generateArrivals();
    now_ += load_.first_view_delay;
    if (load_.order == IngressOrder::OpenFlowsFirst) {
      readBeforeFirstView();
    }
    while (now_ < MonotonicTime() + load_.duration) {
      receiveArrivals();
      if (socket_.empty() && openings_.isEmpty()) {
        now_ = std::max(now_,
                        arrivals_.empty() ? MonotonicTime() + load_.duration : arrivals_.top().at);
      } else if (load_.order == IngressOrder::ArrivalOrder) {
        serveArrivalOrder();
      } else {
        serveOpenFlowsFirst();
      }
    }
    count();
    return result_;
  }

 private:
  struct Packet {
    MonotonicTime at;
    std::uint64_t flow = 0;
    std::uint32_t retransmissions = 0;
    /** 0 for an opening. */
    int number = 0;
    bool operator<(const Packet& other) const { return at > other.at; }
  };

  struct Flow {
    MonotonicTime started_at;
    /** Number of packets forwarded, the opening included. */
    int forwarded_count = 0;
    /** When each was forwarded. */
    std::array<MonotonicTime, kFollowingPackets + 1> at{};
  };

  void generateArrivals() {
    const std::array<Duration, 3> offsets{Duration(), milliseconds(200), milliseconds(600)};
    // Clients that started before the node was available send their retransmissions now.
    MonotonicTime at =
        MonotonicTime() - (load_.first_view_delay > Duration() ? kClientTimeout : Duration());
    for (std::uint64_t flow = 1; at < MonotonicTime() + load_.duration; ++flow) {
      at += interarrivalTime(load_.openings_per_second);
      flows_[flow].started_at = at;
      for (std::uint32_t transmission = 0; transmission < offsets.size(); ++transmission) {
        if (at + offsets[transmission] >= MonotonicTime()) {
          arrivals_.push({at + offsets[transmission], flow, transmission, 0});
        }
      }
    }
  }

  Duration interarrivalTime(double rate) {
    return Duration(static_cast<std::int64_t>(2 * random_->unit() * 1e6 / rate));
  }

  /**
   * Receives the packets that have arrived by now; omits those that the client need no longer send.
   */
  void receiveArrivals() {
    while (!arrivals_.empty() && arrivals_.top().at <= now_) {
      const Packet packet = arrivals_.top();
      arrivals_.pop();
      const Flow& flow = flows_[packet.flow];
      if (flow.forwarded_count > packet.number && flow.at.at(packet.number) <= packet.at) {
        continue;
      }
      if (packet.number > 0) {
        arrivals_.push({packet.at + kRetransmissionTimeout, packet.flow, 0, packet.number});
      }
      if (socket_.size() >= load_.socket_capacity) {
        ++result_.lost_count;
        continue;
      }
      socket_.push_back(packet);
    }
  }

  void serveArrivalOrder() {
    const Packet packet = socket_.front();
    socket_.pop_front();
    now_ += kReadTime;
    packet.number > 0 ? forward(packet) : place(packet.flow);
  }

  /** Reads the socket every 50 ms until the first view is available. */
  void readBeforeFirstView() {
    const MonotonicTime view_at = now_;
    for (now_ = MonotonicTime(); now_ < view_at; now_ += milliseconds(50)) {
      receiveArrivals();
      while (!socket_.empty()) {
        const Packet packet = socket_.front();
        socket_.pop_front();
        packet.number > 0 ? early_packets_.push_back(packet) : add(packet);
      }
    }
    now_ = view_at + kReadTime * static_cast<int>(early_packets_.size() + openings_.size());
    while (!early_packets_.empty()) {
      forward(early_packets_.front());
      early_packets_.pop_front();
    }
  }

  void serveOpenFlowsFirst() {
    const std::size_t batch_size = std::min(kBatchSize, socket_.size());
    const MonotonicTime read_at = now_;
    for (std::size_t index = 0; index < batch_size; ++index) {
      const Packet packet = socket_.front();
      socket_.pop_front();
      now_ += kReadTime;
      packet.number > 0 ? forward(packet) : add(packet);
    }
    const bool is_empty = batch_size < kBatchSize;
    backlog_.onBatch({batch_size, is_empty}, read_at);
    for (std::size_t max_openings = is_empty ? 16 : 2; max_openings > 0; --max_openings) {
      const auto opening = openings_.take(now_);
      if (!opening) {
        return;
      }
      place(opening->flow.low);
    }
  }

  void add(const Packet& packet) {
    PendingOpening opening;
    opening.flow = {0, packet.flow};
    opening.retransmissions = packet.retransmissions;
    opening.read_at = now_;
    openings_.add(std::move(opening));
  }

  void forward(const Packet& packet) {
    now_ += kForwardTime;
    result_.open_flow_delays.push_back(now_ - packet.at);
    onForwarded(packet.flow, packet.number);
  }

  void place(std::uint64_t flow) {
    now_ += kPlaceTime;
    const bool is_abandoned = now_ - flows_[flow].started_at > kClientTimeout;
    if (is_abandoned || flows_[flow].forwarded_count > 0) {
      ++result_.useless_placements;
      return;
    }
    onForwarded(flow, 0);
  }

  void onForwarded(std::uint64_t number, int packet) {
    Flow& flow = flows_[number];
    if (flow.forwarded_count != packet) {
      return;
    }
    flow.at.at(packet) = now_;
    ++flow.forwarded_count;
    if (flow.forwarded_count <= kFollowingPackets) {
      arrivals_.push({now_ + kResponseTime, number, 0, flow.forwarded_count});
    }
  }

  void count() {
    for (const auto& [number, flow] : flows_) {
      if (flow.started_at + kClientTimeout > MonotonicTime() + load_.duration) {
        break;
      }
      if (flow.forwarded_count <= kFollowingPackets) {
        ++result_.never_count;
      } else {
        ++(flow.at.back() - flow.started_at <= kDeadline ? result_.in_time_count
                                                         : result_.late_count);
      }
    }
  }

  const IngressLoad load_;
  MonotonicTime now_;
  std::unique_ptr<RandomGenerator> random_ = makeSeededRandom(1);
  ReceiveBacklog backlog_{ReceiveBacklogSettings(), now_};
  OpeningBacklog openings_{load_.backlog};
  std::priority_queue<Packet> arrivals_;
  std::deque<Packet> socket_;
  std::deque<Packet> early_packets_;
  std::map<std::uint64_t, Flow> flows_;
  IngressResult result_;
};

}  // namespace lugfork
