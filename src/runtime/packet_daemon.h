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

/** Settings of a PacketDaemon: addresses, and the settings of its parts. */
struct PacketDaemonSettings {
  PacketNodeSettings node;
  /** Receives the clients' packets (UDP). */
  Endpoint packet_address;
  /** Serves the readiness check (HTTP). */
  Endpoint ready_address;
  std::string ready_path;
  /** Serves metrics (HTTP) and identifies this balancer to its peers; unset for none. */
  Endpoint control_address;
  /** Second address of the control server, for metrics scrapers; unset for none. */
  Endpoint metrics_address;
  /** Control addresses of possible peers, for the first contact. */
  std::vector<Endpoint> seeds;
  /** Rate class of this machine's link; balancers with the fastest links relay the store's changes.
   */
  LinkClass link = 0;
  PeerDirectorySettings peers;
  PeerExchangeSettings peer_exchange;
  /** Serves and requests views (UDP); unset to run without peers. */
  Endpoint peer_address;
  ViewClientSettings view_client;
  ViewProviderSettings provider;
  EvidenceExchangeSettings evidence;
  UpstreamSelectorSettings upstream;
  UpstreamSourceSettings source;
  HedgedReadSettings hedged_reads;
  /** The prefixes are set from the platform's layout. */
  SplitFeedSettings split_feeds;
  LeaveSettings leave;
  LogLimits log_limits;
  ReceiveBacklogSettings receive_backlog;
  OpeningBacklogSettings opening_backlog;
};

/** The platform-specific parts of a PacketDaemon. */
struct PlatformBinding {
  const PacketCodec& codec;
  const PlatformLayout& layout;
  ItemSource& source;
};

/** Runs one PacketNode on sockets and the system clocks. */
class PacketDaemon : private PacketSender, private UpstreamListener, private ViewOwner {
 public:
  /** @param reload called on SIGHUP; returns an empty string, or why the settings were rejected. */
  PacketDaemon(boost::asio::io_context& io_context, PacketDaemonSettings settings,
               const PlatformBinding& platform, EventLog& log, std::function<std::string()> reload);

  /**
   * Requests the first view, serves readiness and metrics, and runs until a planned stop (SIGTERM
   * or SIGINT) is complete.
   * @throws std::runtime_error if an address can't be bound.
   */
  void run();

  /** @return true if this balancer's own delay may have caused the clients' retransmissions. */
  bool evidenceIsStale() const {
    return receive_backlog_.evidenceIsStale(time_source_.monotonicTime());
  }

 private:
  void forwardPacket(const Backend& backend, CompactToken token) override;
  void resetClient(const FlowPacket& packet) override;

  // UpstreamListener
  void onUpstreamChanged(Upstream upstream, Endpoint balancer, std::string_view cause) override;

  // ViewOwner
  const ItemView& view() const override { return node_.follower().view(); }
  ViewStatus viewStatus() const override;

  /** Both return null if this balancer runs without peers. */
  std::unique_ptr<UdpPeerSocket> makePeerSocket();
  std::unique_ptr<ViewClient> makeViewClient();
  void connectPeers();
  void connectEvidence();
  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from);
  /** Reads the packets that arrive before the first view, to record when they arrived. */
  void readEarlyPackets();
  void onComplete();
  void serveEarlyPackets(std::size_t max_count);
  /** Serves openings after packets of open flows. @return true if more are pending. */
  bool onTurn(const ReceiveBatch& turn);
  /** @return true if the current batch began shortly after the previous one ended. */
  bool moreExpected() const;
  void onBehindChanged();
  void addOpening(const FlowPacket& packet, std::span<const std::uint8_t> bytes);
  void serveOpenings(std::size_t max_count);
  bool serveOpening();
  void rejectOpening();
  void handle(const FlowPacket& packet, std::span<const std::uint8_t> bytes);
  void awaitSignal();
  void onSignal(int signal);
  void reload();
  void startLeaving();
  void stopWhenDone();
  /** Closes the control server on another thread, as CivetWeb takes up to 2 s to close. */
  void closeControlServer();
  void startServers();
  /** Both run on the HTTP servers' threads. */
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
  /** The next four are null if this balancer runs without peers. */
  std::unique_ptr<UdpPeerSocket> peer_socket_;
  std::unique_ptr<ViewClient> view_client_;
  std::unique_ptr<PeerExchange> peer_exchange_;
  std::unique_ptr<ViewProvider> provider_;
  UpstreamSource source_;
  ThreadCpuClock processor_clock_;
  PacketNode node_;
  /** Null if this balancer runs without peers or shares no evidence. */
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
  /** When a packet was first forwarded, on the clock of timeSinceBoot(). */
  std::optional<Duration> first_packet_at_;
  /** The latest packets of open flows that arrived before the first view. */
  std::deque<std::vector<std::uint8_t>> early_packets_;
  bool is_serving_ = false;
  bool was_behind_ = false;
  std::size_t receive_buffer_datagrams_ = 0;
  /** When the current batch was read; unset between batches. */
  std::optional<MonotonicTime> batch_read_at_;
  MonotonicTime turn_ended_at_;
  /** When the previous packet was handled. */
  MonotonicTime last_handled_at_;
  /** The packet that the node is handling. */
  std::span<const std::uint8_t> current_packet_;
  std::vector<std::uint8_t> datagram_;
};

}  // namespace lugfork
