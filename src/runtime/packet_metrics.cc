#include "runtime/packet_metrics.h"

#include "runtime/process_times.h"

namespace lugfork {

namespace {

const std::vector<double> kHandshakeBounds = {0.002, 0.005, 0.01, 0.02, 0.05,
                                              0.1,   0.2,   0.4,  0.8,  1.6};
const std::vector<double> kHandlingBounds = {0.00001, 0.00002, 0.00005, 0.0001,
                                             0.0002,  0.0005,  0.001,   0.005};

void addDataPath(MetricPage& page, const PacketCounters& counters) {
  addCounter(page, "lugfork_openings_total", "Openings of flows placed.", counters.openings);
  addCounter(page, "lugfork_reopenings_total", "Openings placed again after silence.",
             counters.reopenings);
  addCounter(page, "lugfork_forwards_total", "Packets of open flows forwarded.", counters.forwards);
  for (std::size_t index = 0; index < kReasonCount; ++index) {
    addCounter(page, "lugfork_resets_total", "Resets sent to callers.",
               counters.resets_by_reason[index],
               {{"reason", toString(static_cast<Reason>(index))}});
  }
  const char* help = "Packets dropped.";
  addCounter(page, "lugfork_packets_dropped_total", help, counters.drops_unknown_backend,
             {{"cause", "unknown_backend"}});
  addCounter(page, "lugfork_packets_dropped_total", help, counters.drops_not_certain,
             {{"cause", "not_certain"}});
}

void addSockets(MetricPage& page, const PacketSocketCounters& sockets) {
  addCounter(page, "lugfork_packets_received_total", "Packets received.", sockets.packets_received);
  for (std::size_t index = 0; index < kPacketErrorCount; ++index) {
    addCounter(page, "lugfork_packets_dropped_total", "Packets dropped.",
               sockets.packets_invalid[index],
               {{"cause", toString(static_cast<PacketError>(index))}});
  }
}

void addBacklog(MetricPage& page, const PacketMetricSources& sources) {
  if (sources.receive_backlog == nullptr || sources.openings == nullptr) {
    return;
  }
  addCounter(page, "lugfork_behind_total", "Times the packet socket did not empty for 100 ms.",
             sources.receive_backlog->timesBehind());
  addCounter(page, "lugfork_stops_total", "Times the process stood still with packets at hand.",
             sources.receive_backlog->pauses());
  const char* help = "Packets dropped.";
  const OpeningBacklogCounters& counters = sources.openings->counters();
  addCounter(page, "lugfork_packets_dropped_total", help, counters.expired,
             {{"cause", "opening_outlived"}});
  addCounter(page, "lugfork_packets_dropped_total", help, counters.evicted,
             {{"cause", "opening_crowded_out"}});
  addCounter(page, "lugfork_packets_dropped_total", help, counters.merged,
             {{"cause", "opening_copy_joined"}});
  addCounter(page, "lugfork_packets_dropped_total", help, counters.abandoned,
             {{"cause", "opening_given_up"}});
  addCounter(page, "lugfork_packets_dropped_total", help, sources.sockets.early_packets_dropped,
             {{"cause", "before_first_view"}});
  addCounter(page, "lugfork_openings_rejected_behind_total",
             "Openings rejected that waited for this balancer's processor.",
             sources.sockets.openings_rejected);
}

void addFollower(MetricPage& page, const ViewFollower& follower) {
  const ViewFollowerCounters& counters = follower.counters();
  addCounter(page, "lugfork_platform_pages_total", "Pages read.", counters.pages);
  addCounter(page, "lugfork_platform_watches_total", "Watches made.", counters.watches);
  addCounter(page, "lugfork_platform_full_reads_total", "Full reads begun.", counters.full_reads);
  for (std::size_t index = 0; index <= static_cast<std::size_t>(SourceError::Last); ++index) {
    addCounter(page, "lugfork_platform_errors_total", "Calls without a good answer.",
               counters.errors[index], {{"cause", toString(static_cast<SourceError>(index))}});
  }
  addGauge(page, "lugfork_view_age_seconds", "Time since the platform's last answer.",
           std::chrono::duration<double>(follower.age()).count());
}

void addInvalidRecords(MetricPage& page, const PacketNode& node) {
  for (const auto& [cause, count] : node.counters().records_invalid) {
    addCounter(page, "lugfork_platform_records_invalid_total", "Records that can't be used.", count,
               {{"cause", cause}});
  }
  addCounter(page, "lugfork_platform_items_unreadable_total",
             "Items without a key or a revision that can be read.",
             node.follower().counters().items_unreadable);
}

void addUpstream(MetricPage& page, const PacketMetricSources& sources) {
  const UpstreamCounters& counters = sources.source.counters();
  for (const Upstream upstream :
       {Upstream::None, Upstream::Store, Upstream::Balancer, Upstream::FallbackPeer}) {
    addGauge(page, "lugfork_upstream", "1 for where changes come from at present.",
             sources.source.upstream() == upstream ? 1 : 0, {{"kind", toString(upstream)}});
  }
  addCounter(page, "lugfork_upstream_polls_total", "Polls of other balancers.", counters.polls);
  addCounter(page, "lugfork_upstream_polls_with_changes_total", "Polls that brought changes.",
             counters.polls_with_changes);
  addCounter(page, "lugfork_upstream_polls_without_fresh_view_total",
             "Polls in which no balancer had a fresh view.", counters.polls_without_fresh_view);
  addCounter(page, "lugfork_upstream_deadline_asks_total",
             "Calls to the store because the view had grown too old to wait for a poll.",
             counters.deadline_probes);
  addCounter(page, "lugfork_upstream_stand_ins_total",
             "Polls of balancers in place of a store that did not answer.",
             counters.fallback_polls);
  addCounter(page, "lugfork_upstream_whole_views_total",
             "Whole views that came from other balancers.", counters.views_from_peers);
  addCounter(page, "lugfork_store_calls_total", "Calls to the store.", counters.store_page_reads,
             {{"call", "page"}});
  addCounter(page, "lugfork_store_calls_total", "Calls to the store.", counters.store_watches,
             {{"call", "watch"}});
  addCounter(page, "lugfork_store_calls_total", "Calls to the store.", sources.hedged_reads,
             {{"call", "hedge"}});
}

void addProvider(MetricPage& page, const ViewProviderCounters& counters) {
  const char* help = "Requests for this balancer's view, by how they were answered.";
  addCounter(page, "lugfork_view_requests_total", help, counters.whole_views,
             {{"answer", "whole_view"}});
  addCounter(page, "lugfork_view_requests_total", help, counters.changes, {{"answer", "changes"}});
  addCounter(page, "lugfork_view_requests_total", help, counters.referred,
             {{"answer", "referred"}});
  addCounter(page, "lugfork_view_requests_total", help, counters.queued, {{"answer", "queued"}});
  addCounter(page, "lugfork_view_requests_total", help, counters.history_unknown,
             {{"answer", "history_unknown"}});
  addCounter(page, "lugfork_view_sent_bytes_total", "Bytes of views and changes sent.",
             counters.bytes);
}

/** Adds admission verdicts by service and priority, and the load that admission is based on. */
void addLoad(MetricPage& page, const PacketNode& node) {
  if (node.configuration() == nullptr) {
    return;
  }
  const LoadControl& control = node.loadControl();
  for (const Service& service : node.configuration()->document().services) {
    const LoadControl::CountersByPriority counters = control.counters(service.id);
    for (std::size_t priority = 0; priority < counters.size(); ++priority) {
      if (counters[priority].offered == 0) {
        continue;
      }
      const char* help = "First copies of openings, by what admission decided.";
      const std::string priority_label = std::to_string(priority);
      page.addCounter(
          "lugfork_admission_total", help, counters[priority].admitted,
          {{"priority", priority_label}, {"service", service.name}, {"verdict", "admitted"}});
      page.addCounter(
          "lugfork_admission_total", help, counters[priority].rejected,
          {{"priority", priority_label}, {"service", service.name}, {"verdict", "rejected"}});
    }
    const ServiceLoad load = control.load(service.id);
    page.addGauge("lugfork_admission_level",
                  "Classes of requests that are rejected; a fraction is a part of a class.",
                  control.level(service.id), {{"service", service.name}});
    page.addGauge("lugfork_requests_per_busy_slot",
                  "Requests present for each that is worked on, by response times; 0 for unknown.",
                  load.requestsPerBusySlot(), {{"service", service.name}});
    page.addGauge(
        "lugfork_service_time_seconds", "Time of an answer where nothing waits; 0 for unknown.",
        std::chrono::duration<double>(load.service_time).count(), {{"service", service.name}});
  }
}

/** Adds new flows by service, zone and overflow cause. */
void addLocality(MetricPage& page, const PacketNode& node) {
  if (node.configuration() == nullptr) {
    return;
  }
  const LocalityRouter& locality = node.locality();
  const char* help = "New flows placed, by zone and by why the share beyond the own zone was so.";
  for (const Service& service : node.configuration()->document().services) {
    const LocalityCounters counters = locality.counters(service.id);
    page.addCounter("lugfork_flows_placed_total", help, counters.local_zone,
                    {{"cause", "none"}, {"service", service.name}, {"zone", "own"}});
    for (std::size_t index = 0; index < std::size(counters.remote_by_cause); ++index) {
      const std::string_view cause = toString(static_cast<OverflowCause>(index));
      page.addCounter("lugfork_flows_placed_total", help, counters.remote_by_cause[index],
                      {{"cause", cause}, {"service", service.name}, {"zone", "beyond"}});
    }
    page.addGauge("lugfork_own_zone_share",
                  "Share of new flows that stays in the own zone, by slots and weight.",
                  locality.localFraction(service.id), {{"service", service.name}});
  }
}

void addPeerSocket(MetricPage& page, const UdpPeerSocket& socket, const ViewClient& client) {
  addCounter(page, "lugfork_peer_datagrams_refused_total",
             "Datagrams of another form, fleet or version.", socket.invalidDatagrams());
  addCounter(page, "lugfork_peer_bodies_malformed_total",
             "Views of other balancers that could not be read.", client.malformedBodies());
}

void addProcess(MetricPage& page, const PacketMetricSources& sources) {
  const auto seconds_of = [](Duration duration) {
    return std::chrono::duration<double>(duration).count();
  };
  page.addCounter("lugfork_processor_seconds_total", "Processor time used by this process.",
                  seconds_of(cpuTime()));
  const auto started_at = processStartedAt();
  if (sources.first_packet_at && started_at) {
    page.addGauge("lugfork_start_to_first_packet_seconds",
                  "From the process's start until it first forwarded a packet.",
                  seconds_of(*sources.first_packet_at - *started_at));
  }
}

void addControlWork(MetricPage& page, const ControlWorkMeter& meter) {
  for (std::size_t index = 0; index < kControlWorkCount; ++index) {
    const auto work = static_cast<ControlWork>(index);
    const ControlWorkCost& cost = meter.cost(work);
    const MetricLabels labels = {{"kind", toString(work)}};
    page.addCounter("lugfork_control_work_slices_total",
                    "Slices of control work, in which packets wait.", cost.slices, labels);
    page.addCounter("lugfork_control_work_units_total",
                    "Items read, or back ends and routes brought up to date.", cost.units, labels);
    page.addCounter("lugfork_control_work_processor_microseconds_total",
                    "Processor time of control work.",
                    static_cast<std::uint64_t>(cost.cpu_time.count()), labels);
    page.addGauge("lugfork_control_work_longest_seconds", "Processor time of the longest slice.",
                  std::chrono::duration<double>(cost.max_slice).count(), labels);
  }
}

void addEvidence(MetricPage& page, const PacketNode& node, const EvidenceExchange& exchange) {
  const EvidenceExchangeCounters& counters = exchange.counters();
  const EvidenceCollectorCounters& collector = exchange.collectorCounters();
  const char* help = "Messages between balancers about silent servers.";
  const auto add_messages = [&](const char* kind, std::uint64_t count) {
    page.addCounter("lugfork_evidence_messages_total", help, count, {{"kind", kind}});
  };
  add_messages("report_sent", counters.reports_sent);
  add_messages("report_received", collector.reports);
  add_messages("report_left_out", collector.reports_excluded);
  add_messages("report_of_other_zone", counters.reports_from_other_zones);
  add_messages("digest_sent", collector.digests);
  add_messages("digest_received", counters.digests_received);
  add_messages("digest_of_other_zone", counters.digests_from_other_zones);
  const char* suspects = "Servers that look silent, by who has seen it.";
  page.addGauge("lugfork_suspect_servers", suspects,
                static_cast<double>(node.locallySuspectedCount()), {{"seen_by", "self"}});
  page.addGauge("lugfork_suspect_servers", suspects,
                static_cast<double>(node.sharedEvidence().suspectsByPeers()),
                {{"seen_by", "others"}});
  page.addGauge("lugfork_zones_out_of_reach", "Zones none of whose servers can be reached.",
                static_cast<double>(node.sharedEvidence().unreachableZoneCount()));
  page.addCounter("lugfork_resets_by_others_total",
                  "Open flows reset by what other balancers have seen.",
                  node.packetCounters().resets_by_peer_evidence);
}

}  // namespace

PacketMetrics::PacketMetrics()
    : handshake_(kHandshakeBounds),
      response_(kHandshakeBounds),
      store_read_(kHandshakeBounds),
      handling_(kHandlingBounds) {}

std::string PacketMetrics::render(const PacketMetricSources& sources) const {
  const PacketNode& node = sources.node;
  MetricPage page;
  addDataPath(page, node.packetCounters());
  addSockets(page, sources.sockets);
  addBacklog(page, sources);
  addFollower(page, node.follower());
  addUpstream(page, sources);
  if (sources.provider != nullptr) {
    addProvider(page, sources.provider->counters());
  }
  addLocality(page, node);
  addLoad(page, node);
  if (sources.peer_socket != nullptr && sources.view_client != nullptr) {
    addPeerSocket(page, *sources.peer_socket, *sources.view_client);
  }
  addControlWork(page, node.controlWork());
  if (sources.evidence != nullptr) {
    addEvidence(page, node, *sources.evidence);
  }
  addInvalidRecords(page, node);
  addCounter(page, "lugfork_log_lines_left_out_total", "Log lines left out by the limit.",
             sources.log_lines_dropped);
  addGauge(page, "lugfork_routes_version", "Version of the routes in force.",
           static_cast<double>(node.routesVersion()));
  addGauge(page, "lugfork_zones_out_of_service",
           "Zones whose servers get no new flow, as the operator asked; as old as the view.",
           static_cast<double>(node.zonesOutOfService()));
  addGauge(page, "lugfork_ready", "1 while callers may be sent here.", node.isReady() ? 1 : 0);
  addHistograms(page);
  addProcess(page, sources);
  return page.text();
}

void PacketMetrics::addHistograms(MetricPage& page) const {
  page.addHistogram("lugfork_handshake_seconds",
                    "From a flow's opening to the caller's next packet.", handshake_);
  page.addHistogram("lugfork_response_seconds",
                    "From a request's first packet to the beginning of its answer.", response_);
  page.addHistogram("lugfork_platform_read_seconds", "Reads of the platform's store.", store_read_);
  page.addHistogram("lugfork_packet_handling_seconds", "Time in which a packet was handled.",
                    handling_);
}

}  // namespace lugfork
