#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>

#include "balancer/packet_node.h"
#include "common/bounded_event_log.h"
#include "runtime/asio_scheduler.h"
#include "runtime/http_server.h"
#include "runtime/leave_timer.h"
#include "runtime/packet_metrics.h"
#include "runtime/udp_endpoint.h"

namespace lugfork {

/** Addresses and tunables around a PacketNode. */
struct PacketDaemonSettings {
  PacketNodeSettings node;
  /** Callers' packets (UDP). */
  Endpoint packet_address;
  /** Readiness (HTTP). */
  Endpoint ready_address;
  std::string ready_path;
  /** Metrics (HTTP), at /metrics; unset for none. */
  Endpoint metrics_address;
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
class PacketDaemon : private PacketSender {
 public:
  /** @param reload called on SIGHUP; returns an empty text, or why the settings were not taken. */
  PacketDaemon(boost::asio::io_context& io_context, PacketDaemonSettings settings,
               const PlatformBinding& platform, EventLog& log, std::function<std::string()> reload);

  /** Runs until a planned stop (SIGTERM or SIGINT) is complete. */
  void run();

 private:
  void forwardPacket(const Backend& backend, CompactToken token) override;
  void resetCaller(const FlowPacket& packet) override;

  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint from);
  void awaitSignal();
  void onSignal(int signal);
  void reload();
  void startLeaving();
  void stopWhenDone();
  /** Called on the HTTP server's threads. */
  HttpResponse onHttpRequest(const HttpRequest& request);

  const PacketDaemonSettings settings_;
  const PacketCodec& codec_;
  RealTimeSource time_source_;
  BoundedEventLog log_;
  std::unique_ptr<RandomGenerator> random_;
  boost::asio::io_context& io_context_;
  AsioScheduler scheduler_;
  PacketNode node_;
  UdpEndpoint socket_;
  boost::asio::signal_set signals_;
  LeaveTimer leave_timer_;
  PacketMetrics metrics_;
  PacketSocketCounters counters_;
  std::function<std::string()> reload_;
  std::unique_ptr<HttpServer> http_;
  std::atomic<bool> ready_ = false;
  /** The packet at hand, while the node decides on it. */
  std::span<const std::uint8_t> packet_;
  std::vector<std::uint8_t> datagram_;
};

}  // namespace lugfork
