#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/thread_pool.hpp>
#include <memory>

#include "balancer/packet_node.h"
#include "common/bounded_event_log.h"
#include "discovery/failover_source.h"
#include "discovery/peer_exchange.h"
#include "discovery/relayed_source.h"
#include "discovery/timed_source.h"
#include "runtime/asio_scheduler.h"
#include "runtime/http_server.h"
#include "runtime/leave_timer.h"
#include "runtime/packet_metrics.h"
#include "runtime/peer_http.h"
#include "runtime/udp_endpoint.h"
#include "runtime/udp_news_client.h"

namespace lugfork {

/** Addresses and tunables around a PacketNode. */
struct PacketDaemonSettings {
  PacketNodeSettings node;
  /** Callers' packets (UDP). */
  Endpoint packet_address;
  /** Readiness (HTTP). */
  Endpoint ready_address;
  std::string ready_path;
  /** Other balancers' calls and metrics (HTTP); unset for none. */
  Endpoint control_address;
  /** Second address of the same server, for who reads metrics; unset for none. */
  Endpoint metrics_address;
  /** Control addresses of balancers that may be there. */
  std::vector<Endpoint> seeds;
  PeerDirectorySettings peers;
  PeerExchangeSettings peer_exchange;
  FailoverSettings failover;
  /** Where balancers ask each other what is new in their views (UDP); unset to follow no other. */
  Endpoint news_address;
  NewsClientSettings news_client;
  UpstreamSettings upstream;
  RelaySettings relay;
  LeaveSettings leave;
  LogLimits log_limits;
};

/** What ties the daemon to a platform. */
struct PlatformBinding {
  const PacketCodec& codec;
  const PlatformLayout& layout;
  ItemSource& source;
};

/** Runs one PacketNode on real sockets and clocks. */
class PacketDaemon : private PacketSender, private FailoverHost, private RelayHost {
 public:
  /** @param reload called on SIGHUP; returns an empty text, or why the settings were not taken. */
  PacketDaemon(boost::asio::io_context& io_context, HttpGetClient& http_client,
               PacketDaemonSettings settings, const PlatformBinding& platform, EventLog& log,
               std::function<std::string()> reload);

  /** Runs until a planned stop (SIGTERM or SIGINT) is complete. */
  void run();

 private:
  void forwardPacket(const Backend& backend, CompactToken token) override;
  void resetCaller(const FlowPacket& packet) override;

  // FailoverHost
  void onPeerFollowed(Endpoint peer, SourceError cause) override;
  void onStoreFollowed() override;

  // RelayHost
  bool storeAnswers() const override { return source_.storeAnswers(); }
  void onUpstreamFollowed(Endpoint upstream) override;
  void onUpstreamLeft(Endpoint upstream, std::string_view cause) override;

  /** Makes what is needed to follow other balancers. @return where the node reads the view. */
  ItemSource& makeNodeSource();
  /** @return what other balancers are told of this one's view. */
  ViewNews ownNews(Revision after) const;
  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from);
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
  BoundedEventLog log_;
  std::unique_ptr<RandomGenerator> random_;
  boost::asio::io_context& io_context_;
  AsioScheduler scheduler_;
  PeerDirectory directory_;
  HttpPeerClient peer_client_;
  PeerExchange peer_exchange_;
  TimedSource store_;
  FailoverSource source_;
  UpstreamSelector upstreams_;
  /** Both are unset where this balancer follows no other. */
  std::unique_ptr<UdpNewsClient> news_client_;
  std::unique_ptr<RelayedSource> relayed_source_;
  PacketNode node_;
  PeerRequestHandler peer_handler_;
  UdpEndpoint socket_;
  boost::asio::signal_set signals_;
  LeaveTimer leave_timer_;
  PacketMetrics metrics_;
  PacketSocketCounters counters_;
  std::function<std::string()> reload_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> control_server_;
  boost::asio::thread_pool closer_{1};
  std::atomic<bool> control_closed_ = false;
  std::atomic<bool> ready_ = false;
  /** The packet at hand, while the node decides on it. */
  std::span<const std::uint8_t> packet_;
  std::vector<std::uint8_t> datagram_;
};

}  // namespace lugfork
