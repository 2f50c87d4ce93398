#include "runtime/packet_metrics.h"

#include <prometheus/text_serializer.h>

#include "runtime/metric_families.h"

namespace lugfork {

namespace {

const prometheus::Histogram::BucketBoundaries kHandshakeBounds = {0.002, 0.005, 0.01, 0.02, 0.05,
                                                                  0.1,   0.2,   0.4,  0.8,  1.6};
const prometheus::Histogram::BucketBoundaries kHandlingBounds = {0.00001, 0.00002, 0.00005, 0.0001,
                                                                 0.0002,  0.0005,  0.001,   0.005};

prometheus::Histogram& makeHistogram(prometheus::Registry& registry, const std::string& name,
                                     const std::string& help,
                                     const prometheus::Histogram::BucketBoundaries& bounds) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, bounds);
}

void addDataPath(prometheus::Registry& registry, const PacketCounters& counters) {
  addCounter(registry, "lugfork_openings_total", "Openings of flows placed.", counters.openings);
  addCounter(registry, "lugfork_reopenings_total", "Openings placed again after silence.",
             counters.reopenings);
  addCounter(registry, "lugfork_forwards_total", "Packets of open flows forwarded.",
             counters.forwards);
  for (std::size_t index = 0; index < kReasonCount; ++index) {
    addCounter(registry, "lugfork_resets_total", "Resets sent to callers.",
               counters.resets_by_reason[index],
               {{"reason", toString(static_cast<Reason>(index))}});
  }
  const char* help = "Packets dropped.";
  addCounter(registry, "lugfork_packets_dropped_total", help, counters.drops_unknown_backend,
             {{"cause", "unknown_backend"}});
  addCounter(registry, "lugfork_packets_dropped_total", help, counters.drops_not_certain,
             {{"cause", "not_certain"}});
}

void addSockets(prometheus::Registry& registry, const PacketSocketCounters& sockets) {
  addCounter(registry, "lugfork_packets_received_total", "Packets received.",
             sockets.packets_received);
  for (std::size_t index = 0; index < kPacketErrorCount; ++index) {
    addCounter(registry, "lugfork_packets_dropped_total", "Packets dropped.",
               sockets.packets_invalid[index],
               {{"cause", toString(static_cast<PacketError>(index))}});
  }
}

void addFollower(prometheus::Registry& registry, const ViewFollower& follower) {
  const ViewFollowerCounters& counters = follower.counters();
  addCounter(registry, "lugfork_platform_pages_total", "Pages read.", counters.pages);
  addCounter(registry, "lugfork_platform_watches_total", "Watches made.", counters.watches);
  addCounter(registry, "lugfork_platform_full_reads_total", "Full reads begun.",
             counters.full_reads);
  for (std::size_t index = 0; index <= static_cast<std::size_t>(SourceError::Last); ++index) {
    addCounter(registry, "lugfork_platform_errors_total", "Calls without a good answer.",
               counters.errors[index], {{"cause", toString(static_cast<SourceError>(index))}});
  }
  addGauge(registry, "lugfork_view_age_seconds", "Time since the platform's last answer.",
           std::chrono::duration<double>(follower.age()).count());
}

void addUpstream(prometheus::Registry& registry, const PacketFigures& figures) {
  const UpstreamCounters& counters = figures.source.counters();
  for (const Upstream upstream :
       {Upstream::None, Upstream::Store, Upstream::Balancer, Upstream::StandIn}) {
    addGauge(registry, "lugfork_upstream", "1 for where changes come from at present.",
             figures.source.upstream() == upstream ? 1 : 0, {{"kind", toString(upstream)}});
  }
  addCounter(registry, "lugfork_upstream_polls_total", "Polls of other balancers.", counters.polls);
  addCounter(registry, "lugfork_upstream_polls_with_changes_total", "Polls that brought changes.",
             counters.polls_with_changes);
  addCounter(registry, "lugfork_upstream_polls_without_fresh_view_total",
             "Polls in which no balancer had a fresh view.", counters.polls_without_fresh_view);
  addCounter(registry, "lugfork_upstream_deadline_asks_total",
             "Calls to the store because the view had grown too old to wait for a poll.",
             counters.deadline_asks);
  addCounter(registry, "lugfork_upstream_stand_ins_total",
             "Polls of balancers in place of a store that did not answer.", counters.stand_ins);
  addCounter(registry, "lugfork_upstream_whole_views_total",
             "Whole views that came from other balancers.", counters.views_from_balancers);
  addCounter(registry, "lugfork_store_calls_total", "Calls to the store.",
             counters.pages_from_store, {{"call", "page"}});
  addCounter(registry, "lugfork_store_calls_total", "Calls to the store.",
             counters.watches_of_store, {{"call", "watch"}});
  addCounter(registry, "lugfork_store_calls_total", "Calls to the store.", figures.hedged_reads,
             {{"call", "hedge"}});
}

void addProvider(prometheus::Registry& registry, const ViewProviderCounters& counters) {
  const char* help = "Requests for this balancer's view, by how they were answered.";
  addCounter(registry, "lugfork_view_requests_total", help, counters.whole_views,
             {{"answer", "whole_view"}});
  addCounter(registry, "lugfork_view_requests_total", help, counters.changes,
             {{"answer", "changes"}});
  addCounter(registry, "lugfork_view_requests_total", help, counters.referred,
             {{"answer", "referred"}});
  addCounter(registry, "lugfork_view_requests_total", help, counters.queued,
             {{"answer", "queued"}});
  addCounter(registry, "lugfork_view_requests_total", help, counters.history_unknown,
             {{"answer", "history_unknown"}});
  addCounter(registry, "lugfork_view_sent_bytes_total", "Bytes of views and changes sent.",
             counters.bytes);
}

void addPeerSocket(prometheus::Registry& registry, const UdpPeerSocket& socket,
                   const ViewClient& client) {
  addCounter(registry, "lugfork_peer_datagrams_refused_total",
             "Datagrams of another form, fleet or version.", socket.refused());
  addCounter(registry, "lugfork_peer_bodies_malformed_total",
             "Views of other balancers that could not be read.", client.malformedBodies());
}

void addEvidence(prometheus::Registry& registry, const PacketNode& node,
                 const EvidenceExchange& exchange) {
  const EvidenceExchangeCounters& counters = exchange.counters();
  const EvidenceCollectorCounters& summed = exchange.collectorCounters();
  const char* help = "Messages between balancers about silent servers.";
  const auto add_messages = [&](const char* kind, std::uint64_t count) {
    addCounter(registry, "lugfork_evidence_messages_total", help, count, {{"kind", kind}});
  };
  add_messages("report_sent", counters.reports_sent);
  add_messages("report_received", summed.reports);
  add_messages("report_left_out", summed.reports_left_out);
  add_messages("report_of_other_zone", counters.reports_of_other_zones);
  add_messages("digest_sent", summed.digests);
  add_messages("digest_received", counters.digests_received);
  add_messages("digest_of_other_zone", counters.digests_of_other_zones);
  addGauge(registry, "lugfork_suspect_servers", "Servers that look silent, by who has seen it.",
           static_cast<double>(node.suspectsBySelf()), {{"seen_by", "self"}});
  addGauge(registry, "lugfork_suspect_servers", "Servers that look silent, by who has seen it.",
           static_cast<double>(node.sharedEvidence().suspectsByOthers()), {{"seen_by", "others"}});
  addGauge(registry, "lugfork_zones_out_of_reach", "Zones none of whose servers can be reached.",
           static_cast<double>(node.sharedEvidence().zonesOutOfReach()));
  addCounter(registry, "lugfork_resets_by_others_total",
             "Open flows reset by what other balancers have seen.",
             node.packetCounters().resets_by_others);
}

}  // namespace

PacketMetrics::PacketMetrics()
    : handshake_(makeHistogram(histograms_, "lugfork_handshake_seconds",
                               "From a flow's opening to the caller's next packet.",
                               kHandshakeBounds)),
      response_(makeHistogram(histograms_, "lugfork_response_seconds",
                              "From a request's first packet to the beginning of its answer.",
                              kHandshakeBounds)),
      store_read_(makeHistogram(histograms_, "lugfork_platform_read_seconds",
                                "Reads of the platform's store.", kHandshakeBounds)),
      handling_(makeHistogram(histograms_, "lugfork_packet_handling_seconds",
                              "Time in which a packet was handled.", kHandlingBounds)) {}

std::string PacketMetrics::render(const PacketFigures& figures) const {
  const PacketNode& node = figures.node;
  prometheus::Registry registry;
  addDataPath(registry, node.packetCounters());
  addSockets(registry, figures.sockets);
  addFollower(registry, node.follower());
  addUpstream(registry, figures);
  if (figures.provider != nullptr) {
    addProvider(registry, figures.provider->counters());
  }
  if (figures.peer_socket != nullptr && figures.view_client != nullptr) {
    addPeerSocket(registry, *figures.peer_socket, *figures.view_client);
  }
  if (figures.evidence != nullptr) {
    addEvidence(registry, node, *figures.evidence);
  }
  addCounter(registry, "lugfork_platform_records_invalid_total", "Items that can't be read.",
             node.counters().records_invalid);
  addCounter(registry, "lugfork_log_lines_left_out_total", "Log lines left out by the limit.",
             figures.log_lines_left_out);
  addGauge(registry, "lugfork_routes_version", "Version of the routes in force.",
           static_cast<double>(node.routesVersion()));
  addGauge(registry, "lugfork_zones_out_of_service",
           "Zones whose servers get no new flow, as the operator asked; as old as the view.",
           static_cast<double>(node.zonesOutOfService()));
  addGauge(registry, "lugfork_ready", "1 while callers may be sent here.", node.isReady() ? 1 : 0);
  const prometheus::TextSerializer serializer;
  return serializer.Serialize(registry.Collect()) + serializer.Serialize(histograms_.Collect());
}

}  // namespace lugfork
