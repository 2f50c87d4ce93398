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

/** One weak node's packets, in virtual time: callers send openings with copies, and open flows. */
namespace lugfork {

/** How the node reads and serves. */
enum class IngressWay {
  /** One datagram after the other, in the order of their arrival. */
  InOrder,
  /** Open flows first, openings by OpeningBacklog. */
  Chosen,
};

struct IngressLoad {
  IngressWay way = IngressWay::Chosen;
  /** Datagrams that the socket holds. */
  std::size_t socket_holds = 350;
  /** Flows that callers begin a second. */
  double openings = 200;
  /** Until then the node reads nothing, or only reads. */
  Duration first_view{};
  Duration span = seconds(10);
  OpeningBacklogSettings backlog;
};

struct IngressResult {
  /** Flows whose last packet was forwarded within kAim of their beginning, later, and never. */
  int in_time = 0;
  int late = 0;
  int never = 0;
  /** Openings that were placed though a copy of their flow was, or their callers had gone. */
  int in_vain = 0;
  int lost = 0;
  std::vector<Duration> waits;

  /** @return what all but so many of a thousand packets of open flows waited. */
  Duration waitOfOpenFlows(std::size_t permille) {
    std::sort(waits.begin(), waits.end());
    return waits.empty() ? Duration() : waits[(waits.size() - 1) * permille / 1000];
  }
};

class IngressReplay {
 public:
  /** Elapsed time on 0.038 of a core for 4 us to read, 30 us to forward and 60 us to place. */
  static constexpr Duration kRead{105};
  static constexpr Duration kForward{790};
  static constexpr Duration kPlace{1580};
  static constexpr std::size_t kBatch = 32;
  /** Packets that follow an opening, each so long after the one before was forwarded. */
  static constexpr int kFollowing = 4;
  static constexpr Duration kAnswer = milliseconds(20);
  static constexpr Duration kResend = milliseconds(200);
  static constexpr Duration kPatience = milliseconds(1400);
  static constexpr Duration kAim = milliseconds(400);

  explicit IngressReplay(IngressLoad load) : load_(load) {}

  IngressResult run() {
    makeArrivals();
    now_ += load_.first_view;
    if (load_.way == IngressWay::Chosen) {
      readEarly();
    }
    while (now_ < MonotonicTime() + load_.span) {
      arrive();
      if (socket_.empty() && openings_.isEmpty()) {
        now_ =
            std::max(now_, arrivals_.empty() ? MonotonicTime() + load_.span : arrivals_.top().at);
      } else if (load_.way == IngressWay::InOrder) {
        serveInOrder();
      } else {
        serveChosen();
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
    MonotonicTime begun;
    /** Packets forwarded, the opening included. */
    int forwarded = 0;
    /** When each was forwarded. */
    std::array<MonotonicTime, kFollowing + 1> at{};
  };

  void makeArrivals() {
    const std::array<Duration, 3> copies{Duration(), milliseconds(200), milliseconds(600)};
    // Callers that began while the node was away send their copies now.
    MonotonicTime at = MonotonicTime() - (load_.first_view > Duration() ? kPatience : Duration());
    for (std::uint64_t flow = 1; at < MonotonicTime() + load_.span; ++flow) {
      at += gap(load_.openings);
      flows_[flow].begun = at;
      for (std::uint32_t copy = 0; copy < copies.size(); ++copy) {
        if (at + copies[copy] >= MonotonicTime()) {
          arrivals_.push({at + copies[copy], flow, copy, 0});
        }
      }
    }
  }

  Duration gap(double rate) {
    return Duration(static_cast<std::int64_t>(2 * random_->unit() * 1e6 / rate));
  }

  /** Takes in what has come by now; what the caller need not send any more is not sent. */
  void arrive() {
    while (!arrivals_.empty() && arrivals_.top().at <= now_) {
      const Packet packet = arrivals_.top();
      arrivals_.pop();
      const Flow& flow = flows_[packet.flow];
      if (flow.forwarded > packet.number && flow.at.at(packet.number) <= packet.at) {
        continue;
      }
      if (packet.number > 0) {
        arrivals_.push({packet.at + kResend, packet.flow, 0, packet.number});
      }
      if (socket_.size() >= load_.socket_holds) {
        ++result_.lost;
        continue;
      }
      socket_.push_back(packet);
    }
  }

  void serveInOrder() {
    const Packet packet = socket_.front();
    socket_.pop_front();
    now_ += kRead;
    packet.number > 0 ? forward(packet) : place(packet.flow);
  }

  /** The socket is read each 50 ms until the first view is there. */
  void readEarly() {
    const MonotonicTime view_at = now_;
    for (now_ = MonotonicTime(); now_ < view_at; now_ += milliseconds(50)) {
      arrive();
      while (!socket_.empty()) {
        const Packet packet = socket_.front();
        socket_.pop_front();
        packet.number > 0 ? early_.push_back(packet) : add(packet);
      }
    }
    now_ = view_at + kRead * static_cast<int>(early_.size() + openings_.size());
    while (!early_.empty()) {
      forward(early_.front());
      early_.pop_front();
    }
  }

  void serveChosen() {
    const std::size_t found = std::min(kBatch, socket_.size());
    const MonotonicTime read_at = now_;
    for (std::size_t index = 0; index < found; ++index) {
      const Packet packet = socket_.front();
      socket_.pop_front();
      now_ += kRead;
      packet.number > 0 ? forward(packet) : add(packet);
    }
    const bool is_empty = found < kBatch;
    backlog_.onBatch({found, is_empty}, read_at);
    for (std::size_t most = is_empty ? 16 : 2; most > 0; --most) {
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
    now_ += kForward;
    result_.waits.push_back(now_ - packet.at);
    onForwarded(packet.flow, packet.number);
  }

  void place(std::uint64_t flow) {
    now_ += kPlace;
    const bool is_gone = now_ - flows_[flow].begun > kPatience;
    if (is_gone || flows_[flow].forwarded > 0) {
      ++result_.in_vain;
      return;
    }
    onForwarded(flow, 0);
  }

  void onForwarded(std::uint64_t number, int packet) {
    Flow& flow = flows_[number];
    if (flow.forwarded != packet) {
      return;
    }
    flow.at.at(packet) = now_;
    ++flow.forwarded;
    if (flow.forwarded <= kFollowing) {
      arrivals_.push({now_ + kAnswer, number, 0, flow.forwarded});
    }
  }

  void count() {
    for (const auto& [number, flow] : flows_) {
      if (flow.begun + kPatience > MonotonicTime() + load_.span) {
        break;
      }
      if (flow.forwarded <= kFollowing) {
        ++result_.never;
      } else {
        ++(flow.at.back() - flow.begun <= kAim ? result_.in_time : result_.late);
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
  std::deque<Packet> early_;
  std::map<std::uint64_t, Flow> flows_;
  IngressResult result_;
};

}  // namespace lugfork
