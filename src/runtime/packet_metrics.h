#pragma once

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "balancer/packet_node.h"
#include "flow/packet_codec.h"

namespace lugfork {

/** Counts of the sockets around a PacketNode. */
struct PacketSocketCounters {
  std::uint64_t packets_received = 0;
  std::array<std::uint64_t, kPacketErrorCount> packets_invalid{};
};

/** Latency histograms that are filled while the node runs, and the page with all figures. */
class PacketMetrics {
 public:
  PacketMetrics();

  /** Notes the time from a flow's opening to the caller's next packet. */
  void onHandshake(Duration duration) { handshake_.Observe(toSeconds(duration)); }

  /** Notes the time in which one packet was handled. */
  void onPacketHandled(Duration duration) { handling_.Observe(toSeconds(duration)); }

  /** @return all figures in the Prometheus text format. */
  std::string render(const PacketNode& node, const PacketSocketCounters& sockets,
                     std::uint64_t log_lines_left_out) const;

 private:
  static double toSeconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  prometheus::Registry histograms_;
  prometheus::Histogram& handshake_;
  prometheus::Histogram& handling_;
};

}  // namespace lugfork
