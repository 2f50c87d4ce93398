#include "runtime/metrics.h"

#include <prometheus/text_serializer.h>

#include <map>

#include "runtime/metric_families.h"

namespace lugfork {

namespace {

void addFlowCounters(prometheus::Registry& registry, const FlowCounters& counters) {
  addCounter(registry, "lugfork_placements_total", "Flows placed.", counters.placements);
  addCounter(registry, "lugfork_replacements_total", "Refused flows placed again at once.",
             counters.replacements);
  addCounter(registry, "lugfork_forwards_total", "Datagrams forwarded to back ends.",
             counters.forwards, {{"mode", "may_start"}});
  addCounter(registry, "lugfork_forwards_total", "Datagrams forwarded to back ends.",
             counters.forwards_continue_only, {{"mode", "continue_only"}});
  for (std::size_t index = 0; index < kReasonCount; ++index) {
    const prometheus::Labels labels = {{"reason", toString(static_cast<Reason>(index))}};
    addCounter(registry, "lugfork_refusals_total", "Refusals sent to callers.",
               counters.refusals_by_reason[index], labels);
    addCounter(registry, "lugfork_resets_total", "Resets sent to callers.",
               counters.resets_by_reason[index], labels);
  }
  for (std::size_t index = 0; index < kCodecErrorCount; ++index) {
    addCounter(registry, "lugfork_datagrams_dropped_total", "Datagrams dropped.",
               counters.drops_by_codec_error[index],
               {{"cause", toString(static_cast<CodecError>(index))}});
  }
  addCounter(registry, "lugfork_datagrams_dropped_total", "Datagrams dropped.",
             counters.drops_configuration_behind, {{"cause", "configuration_behind"}});
  addCounter(registry, "lugfork_datagrams_dropped_total", "Datagrams dropped.",
             counters.drops_unexpected_type, {{"cause", "unexpected_type"}});
}

void addPeerCounters(prometheus::Registry& registry, const PeerTransportCounters& peers) {
  const char* help = "Bytes of peer messages.";
  addCounter(registry, "lugfork_control_bytes_total", help, peers.bytes_sent,
             {{"direction", "sent"}});
  addCounter(registry, "lugfork_control_bytes_total", help, peers.bytes_received,
             {{"direction", "received"}});
  addCounter(registry, "lugfork_peer_messages_rejected_total", "Frames that are no peer message.",
             peers.messages_rejected);
  addCounter(registry, "lugfork_peer_messages_dropped_total", "Peer messages not sent.",
             peers.messages_dropped);
}

void addCluster(prometheus::Registry& registry, const Node& node) {
  const ClusterStatus cluster = node.clusterStatus();
  addGauge(registry, "lugfork_degraded", "1 while the node places on an unconfirmed view.",
           cluster.degraded() ? 1 : 0);
  addGauge(registry, "lugfork_view_age_seconds", "Time since the view was last confirmed.",
           std::chrono::duration<double>(cluster.view_age).count());
  addCounter(registry, "lugfork_configuration_conflicts_total",
             "Documents of one version with different content.", cluster.configuration_conflicts);
  std::map<std::string, int> members_by_state;
  for (const MemberRecord& member : node.membership().members()) {
    ++members_by_state[toString(member.state)];
  }
  auto& family = prometheus::BuildGauge()
                     .Name("lugfork_members")
                     .Help("Known balancers besides this one, by state.")
                     .Register(registry);
  for (const auto& [state, count] : members_by_state) {
    family.Add({{"state", state}}).Set(count);
  }
}

}  // namespace

std::string renderMetrics(const Node& node, const PeerTransport& peers) {
  prometheus::Registry registry;
  addFlowCounters(registry, node.flowCounters());
  addPeerCounters(registry, peers.counters());
  addCounter(registry, "lugfork_peers_refused_total", "Peer connections refused by their keys.",
             peers.rejectedPeers());
  addCluster(registry, node);
  addGauge(registry, "lugfork_configuration_version", "Version in force.",
           static_cast<double>(node.configuration().version().value()));
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

}  // namespace lugfork
