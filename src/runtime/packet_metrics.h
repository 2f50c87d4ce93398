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

/** Counters of the packet socket of a PacketNode. */
struct PacketSocketCounters {
  std::uint64_t packets_received = 0;
  std::array<std::uint64_t, kPacketErrorCount> packets_invalid{};
  /** Packets of open flows that arrived before the first view and exceeded the buffer. */
  std::uint64_t early_packets_dropped = 0;
  /** Openings that were rejected while this balancer lagged behind its packet socket. */
  std::uint64_t openings_rejected = 0;
};

/** Objects and values that the metrics page is built from. */
struct PacketMetricSources {
  const PacketNode& node;
  const PacketSocketCounters& sockets;
  const UpstreamSource& source;
  /** Hedged reads of the store, which were sent a second time. */
  std::uint64_t hedged_reads = 0;
  /** The next three are null if the balancer runs without peers. */
  const ViewProvider* provider = nullptr;
  const ViewClient* view_client = nullptr;
  const UdpPeerSocket* peer_socket = nullptr;
  std::uint64_t log_lines_dropped = 0;
  /** When a packet was first forwarded, on the clock of timeSinceBoot(); unset before. */
  std::optional<Duration> first_packet_at;
  /** Null if the balancer shares no evidence of silent backends. */
  const EvidenceExchange* evidence = nullptr;
  /** The next two are null if packets are not read in batches. */
  const ReceiveBacklog* receive_backlog = nullptr;
  const OpeningBacklog* openings = nullptr;
};

/** Holds the latency histograms and renders the metrics page. */
class PacketMetrics {
 public:
  PacketMetrics();

  /** Records the time from a flow's opening to the client's next packet. */
  void onHandshake(Duration duration) { handshake_.observe(toSeconds(duration)); }

  /** Records the time from a request's first packet to the start of its response. */
  void onResponse(Duration duration) { response_.observe(toSeconds(duration)); }

  /** Records the duration of one read of the platform's store. */
  void onStoreRead(Duration duration) { store_read_.observe(toSeconds(duration)); }

  /** Records the handling time of one packet. */
  void onPacketHandled(Duration duration) { handling_.observe(toSeconds(duration)); }

  /** @return all metrics in the Prometheus text format. */
  std::string render(const PacketMetricSources& sources) const;

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
