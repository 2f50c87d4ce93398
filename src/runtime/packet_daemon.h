#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <thread>

#include "balancer/packet_node.h"
#include "common/rate_limited_event_log.h"
#include "discovery/evidence_exchange.h"
#include "discovery/hedged_reads.h"
#include "discovery/peer_exchange.h"
#include "discovery/split_feed_source.h"
#include "discovery/timed_source.h"
#include "discovery/upstream_source.h"
#include "load/opening_backlog.h"
#include "load/receive_backlog.h"
#include "runtime/asio_scheduler.h"
#include "runtime/http_server.h"
#include "runtime/leave_timer.h"
#include "runtime/packet_metrics.h"
#include "runtime/udp_endpoint.h"
#include "runtime/udp_peer_socket.h"

namespace lugfork {

/** Addresses and tunables around a PacketNode. */
struct PacketDaemonSettings {
  PacketNodeSettings node;
  /** Callers' packets (UDP). */
  Endpoint packet_address;
  /** Readiness (HTTP). */
  Endpoint ready_address;
  std::string ready_path;
  /** Metrics (HTTP), and the address by which balancers know each other; unset for none. */
  Endpoint control_address;
  /** Second address of the same server, for who reads metrics; unset for none. */
  Endpoint metrics_address;
  /** Control addresses of balancers that may be there. */
  std::vector<Endpoint> seeds;
  /** Rate of this machine's link; the fastest links carry the changes of the fleet. */
  LinkClass link = 0;
  PeerDirectorySettings peers;
  PeerExchangeSettings peer_exchange;
  /** Where balancers read each other's views (UDP); unset to know no other. */
  Endpoint peer_address;
  ViewClientSettings view_client;
  ViewProviderSettings provider;
  EvidenceExchangeSettings evidence;
  UpstreamSettings upstream;
  UpstreamSourceSettings source;
  HedgedReadSettings hedged_reads;
  /** Its prefixes come from the platform's layout. */
  SplitFeedSettings split_feeds;
  LeaveSettings leave;
  LogLimits log_limits;
  ReceiveBacklogSettings receive_backlog;
  OpeningBacklogSettings opening_backlog;
};

/** What ties the daemon to a platform. */
struct PlatformBinding {
  const PacketCodec& codec;
  const PlatformLayout& layout;
  ItemSource& source;
};

/** Runs one PacketNode on real sockets and clocks. */
class PacketDaemon : private PacketSender, private UpstreamListener, private ViewOwner {
 public:
  /** @param reload called on SIGHUP; returns an empty text, or why the settings were not taken. */
  PacketDaemon(boost::asio::io_context& io_context, PacketDaemonSettings settings,
               const PlatformBinding& platform, EventLog& log, std::function<std::string()> reload);

  /**
   * Asks for the first view, then answers readiness and metrics, and runs until a planned stop
   * (SIGTERM or SIGINT) is complete.
   * @throws std::runtime_error where an address can't be bound.
   */
  void run();

  /** @return true where callers' repetitions may be due to this balancer's own delay. */
  bool evidenceIsStale() const {
    return receive_backlog_.evidenceIsStale(time_source_.monotonicTime());
  }

 private:
  void forwardPacket(const Backend& backend, CompactToken token) override;
  void resetCaller(const FlowPacket& packet) override;

  // UpstreamListener
  void onUpstreamChanged(Upstream upstream, Endpoint balancer, std::string_view cause) override;

  // ViewOwner
  const ItemView& view() const override { return node_.follower().view(); }
  ViewStatus viewStatus() const override;

  /** Both return null where this balancer knows no other. */
  std::unique_ptr<UdpPeerSocket> makePeerSocket();
  std::unique_ptr<ViewClient> makeViewClient();
  void connectPeers();
  void connectEvidence();
  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from);
  /** Reads what waits for the first view, so that it is known since when. */
  void readEarlyPackets();
  void onComplete();
  void serveEarlyPackets(std::size_t most);
  /** Serves openings after packets of open flows. @return true where more wait. */
  bool onTurn(const ReceiveTurn& turn);
  /** @return true where the batch at hand began just after the last one ended. */
  bool moreExpected() const;
  void onBehindChanged();
  void addOpening(const FlowPacket& packet, std::span<const std::uint8_t> bytes);
  void serveOpenings(std::size_t most);
  bool serveOpening();
  void rejectOpening();
  void handle(const FlowPacket& packet, std::span<const std::uint8_t> bytes);
  void awaitSignal();
  void onSignal(int signal);
  void reload();
  void startLeaving();
  void stopWhenDone();
  /** Closes the control server on another thread: CivetWeb takes up to 2 s for it. */
  void closeControlServer();
  void startServers();
  /** Both are called on the HTTP servers' threads. */
  HttpResponse onReadyRequest(const HttpRequest& request) const;
  HttpResponse onControlRequest(const HttpRequest& request);

  const PacketDaemonSettings settings_;
  const PacketCodec& codec_;
  RealTimeSource time_source_;
  RateLimitedEventLog log_;
  std::unique_ptr<RandomGenerator> random_;
  boost::asio::io_context& io_context_;
  AsioScheduler scheduler_;
  PeerDirectory directory_;
  TimedSource store_;
  HedgedReads hedged_store_;
  SplitFeedSource split_store_;
  UpstreamSelector selector_;
  /** These four are null where this balancer knows no other. */
  std::unique_ptr<UdpPeerSocket> peer_socket_;
  std::unique_ptr<ViewClient> view_client_;
  std::unique_ptr<PeerExchange> peer_exchange_;
  std::unique_ptr<ViewProvider> provider_;
  UpstreamSource source_;
  ThreadCpuClock processor_clock_;
  PacketNode node_;
  /** Null where this balancer knows no other, or shares no evidence. */
  std::unique_ptr<EvidenceExchange> evidence_exchange_;
  ReceiveBacklog receive_backlog_;
  OpeningBacklog openings_;
  UdpEndpoint socket_;
  boost::asio::signal_set signals_;
  LeaveTimer leave_timer_;
  PacketMetrics metrics_;
  PacketSocketCounters counters_;
  std::function<std::string()> reload_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> control_server_;
  std::atomic<bool> control_closed_ = false;
  std::jthread closer_;
  std::atomic<bool> ready_ = false;
  /** When a packet was first forwarded, as machineTime() counts. */
  std::optional<Duration> first_packet_at_;
  /** Packets of open flows that came before the first view, the latest ones. */
  std::deque<std::vector<std::uint8_t>> early_packets_;
  bool is_serving_ = false;
  bool was_behind_ = false;
  std::size_t datagrams_held_ = 0;
  /** When the batch at hand was read; unset between batches. */
  std::optional<MonotonicTime> batch_at_;
  MonotonicTime turn_ended_at_;
  /** When the packet before the one at hand was handled. */
  MonotonicTime handled_at_;
  /** The packet at hand, while the node decides on it. */
  std::span<const std::uint8_t> packet_;
  std::vector<std::uint8_t> datagram_;
};

}  // namespace lugfork
