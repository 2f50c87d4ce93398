#pragma once

#include <optional>
#include <string>

#include "balancer/packet_node.h"
#include "discovery/evidence_exchange.h"
#include "discovery/upstream_source.h"
#include "flow/packet_codec.h"
#include "load/opening_backlog.h"
#include "load/receive_backlog.h"
#include "runtime/metric_page.h"
#include "runtime/udp_peer_socket.h"

namespace lugfork {

/** Counts of the sockets around a PacketNode. */
struct PacketSocketCounters {
  std::uint64_t packets_received = 0;
  std::array<std::uint64_t, kPacketErrorCount> packets_invalid{};
  /** Packets of open flows that came before the first view and had no room. */
  std::uint64_t early_packets_dropped = 0;
  /** Openings that were rejected since they had waited for this balancer's processor. */
  std::uint64_t openings_rejected = 0;
};

/** Where the counts of the page stand. */
struct PacketFigures {
  const PacketNode& node;
  const PacketSocketCounters& sockets;
  const UpstreamSource& source;
  /** Reads of the store that were sent again. */
  std::uint64_t hedged_reads = 0;
  /** These are unset where the node knows no other. */
  const ViewProvider* provider = nullptr;
  const ViewClient* view_client = nullptr;
  const UdpPeerSocket* peer_socket = nullptr;
  std::uint64_t log_lines_left_out = 0;
  /** When a packet was first forwarded, as machineTime() counts; unset before. */
  std::optional<Duration> first_packet_at;
  /** Unset where the node shares no evidence of silent servers. */
  const EvidenceExchange* evidence = nullptr;
  /** Unset where packets are not read in batches. */
  const ReceiveBacklog* receive_backlog = nullptr;
  const OpeningBacklog* openings = nullptr;
};

/** Latency histograms that are filled while the node runs, and the page with all figures. */
class PacketMetrics {
 public:
  PacketMetrics();

  /** Notes the time from a flow's opening to the caller's next packet. */
  void onHandshake(Duration duration) { handshake_.observe(toSeconds(duration)); }

  /** Notes the time from a request's first packet to the beginning of its answer. */
  void onResponse(Duration duration) { response_.observe(toSeconds(duration)); }

  /** Notes the time of one read of the platform's store. */
  void onStoreRead(Duration duration) { store_read_.observe(toSeconds(duration)); }

  /** Notes the time in which one packet was handled. */
  void onPacketHandled(Duration duration) { handling_.observe(toSeconds(duration)); }

  /** @return all figures in the Prometheus text format. */
  std::string render(const PacketFigures& figures) const;

 private:
  static double toSeconds(Duration duration) {
    return std::chrono::duration<double>(duration).count();
  }

  void addHistograms(MetricPage& page) const;

  MetricHistogram handshake_;
  MetricHistogram response_;
  MetricHistogram store_read_;
  MetricHistogram handling_;
};

}  // namespace lugfork
