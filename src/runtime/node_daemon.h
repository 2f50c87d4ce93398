#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/thread_pool.hpp>
#include <memory>
#include <set>

#include "balancer/node.h"
#include "runtime/http_server.h"
#include "runtime/leave_timer.h"
#include "runtime/peer_transport.h"
#include "runtime/periodic_timer.h"
#include "runtime/resource_api.h"
#include "runtime/udp_endpoint.h"

namespace lugfork {

/** Settings of a NodeDaemon. */
struct NodeDaemonSettings {
  NodeSettings node;
  Endpoint data_address;
  Endpoint api_address;
  std::vector<Endpoint> platform_addresses;
  PeerSecuritySettings peer_security;
  HttpServerSecurity api_security;
  Duration platform_timeout = seconds(2);
  Duration probe_timeout = milliseconds(500);
  /** How long the node forwards datagrams after a planned stop begins. */
  LeaveSettings leave;
};

/** Runs one Node on sockets and the system clocks. */
class NodeDaemon : private NodeOutputs {
 public:
  NodeDaemon(NodeDaemonSettings settings, EventLog& log);
  ~NodeDaemon() override;

  /** Runs until a planned stop (SIGTERM or SIGINT) is complete. */
  void run();

 private:
  void sendDatagram(Endpoint destination, const Datagram& datagram) override;
  void sendPeerMessage(Endpoint peer, const PeerMessage& message) override;
  void readPlatformConfiguration() override;
  void readPlatformMachines() override;
  void probeBackend(const Backend& backend) override;

  /** Reads a platform resource on a worker thread; the callback runs on the event loop. */
  void readPlatform(const std::string& path, std::function<void(const std::string&)> callback);
  void onStopSignal();
  void stopWhenQuiet();
  /** Runs on the HTTP server's threads. */
  HttpResponse onHttpRequest(const HttpRequest& request);
  HttpResponse respond(const HttpRequest& request);

  /**
   * Blocks until a version above `watch.from` is in force, the timeout ends or the daemon stops.
   * @return true if such a version is in force.
   */
  bool waitForVersionAbove(const StatusWatchRequest& watch);
  void logRejectedPeers();
  HttpServerSecurity apiSecurity() const;

  const NodeDaemonSettings settings_;
  EventLog& log_;
  RealTimeSource time_source_;
  std::unique_ptr<RandomGenerator> random_;
  boost::asio::io_context io_context_;
  boost::asio::thread_pool workers_;
  Node node_;
  PeerStatusTable peer_statuses_;
  ResourceApi api_;
  UdpEndpoint data_;
  PeerTransport peers_;
  PeriodicTimer tick_;
  PeriodicTimer housekeeping_;
  boost::asio::signal_set signals_;
  std::unique_ptr<HttpServer> http_;
  std::set<std::string> reads_in_progress_;
  std::set<BackendId> probes_in_progress_;
  std::size_t next_platform_ = 0;
  std::uint64_t logged_rejected_peers_ = 0;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> watches_ = 0;
  LeaveTimer leave_timer_;
};

}  // namespace lugfork
