#include "runtime/node_daemon.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <thread>

#include "runtime/api_response.h"
#include "runtime/backend_probe.h"
#include "runtime/http_client.h"
#include "runtime/metrics.h"
#include "runtime/program.h"

namespace lugfork {

namespace {

constexpr Duration kTickInterval = milliseconds(20);
constexpr std::size_t kWorkerThreads = 8;
constexpr Duration kHousekeepingInterval = seconds(5);
constexpr Duration kWatchPollInterval = milliseconds(50);
/** Limit of concurrent watches; keeps the other threads of the HTTP server free for plain reads. */
constexpr int kMaxConcurrentWatches = 8;
constexpr const char* kConfigurationPath = "/v1/configuration";
constexpr const char* kMachinesPath = "/v1/machines";

}  // namespace

NodeDaemon::NodeDaemon(NodeDaemonSettings settings, EventLog& log)
    : settings_(std::move(settings)),
      log_(log),
      random_(makeSeededRandom(entropySeed())),
      workers_(kWorkerThreads),
      node_(settings_.node, time_source_, *random_, *this, log),
      peer_statuses_(time_source_),
      api_(node_, peer_statuses_, time_source_),
      data_(io_context_, settings_.data_address,
            [this](std::span<const std::uint8_t> bytes, Endpoint from) {
              leave_timer_.onDatagram(time_source_.monotonicTime());
              node_.onDatagram(bytes, from);
            }),
      peers_(io_context_, settings_.node.peer_address, settings_.peer_security,
             [this](Endpoint from, const PeerMessage& message) {
               peer_statuses_.onMessage(message);
               node_.onPeerMessage(from, message);
             }),
      tick_(io_context_, kTickInterval,
            [this] {
              node_.onTick();
              stopWhenQuiet();
            }),
      housekeeping_(io_context_, kHousekeepingInterval,
                    [this] {
                      api_.observeConditions();
                      logRejectedPeers();
                    }),
      signals_(io_context_, SIGTERM, SIGINT),
      leave_timer_(settings_.leave) {
  signals_.async_wait([this](const boost::system::error_code& error, int) {
    if (!error) {
      onStopSignal();
    }
  });
  http_ = std::make_unique<HttpServer>(
      settings_.api_address, [this](const HttpRequest& request) { return onHttpRequest(request); },
      apiSecurity());
}

NodeDaemon::~NodeDaemon() = default;

void NodeDaemon::run() {
  log_.write(LogLevel::Info, "daemon", "started",
             {{"data_address", toString(settings_.data_address)},
              {"peer_address", toString(settings_.node.peer_address)},
              {"api_address", toString(settings_.api_address)},
              {"version", LUGFORK_VERSION}});
  io_context_.run();
  stopping_ = true;
  workers_.join();
  closeWhileServing(io_context_, http_);
  log_.write(LogLevel::Info, "daemon", "stopped", {});
}

void NodeDaemon::sendDatagram(Endpoint destination, const Datagram& datagram) {
  data_.sendDatagram(destination, datagram);
}

void NodeDaemon::sendPeerMessage(Endpoint peer, const PeerMessage& message) {
  peers_.send(peer, message);
}

void NodeDaemon::readPlatformConfiguration() {
  readPlatform(kConfigurationPath,
               [this](const std::string& body) { node_.onPlatformConfiguration(body); });
}

void NodeDaemon::readPlatformMachines() {
  readPlatform(kMachinesPath, [this](const std::string& body) {
    const auto machines = parseMachineList(body);
    if (machines) {
      node_.onPlatformMachines(machines.value());
      api_.setMachines(machines.value());
    } else {
      log_.write(LogLevel::Error, "platform", "machine_list_invalid",
                 {{"problem", machines.error()}});
    }
  });
}

void NodeDaemon::probeBackend(const Backend& backend) {
  if (!probes_in_progress_.insert(backend.id).second) {
    return;
  }
  boost::asio::post(workers_, [this, backend] {
    const BackendReport report = probeBackendOverHttp(backend, settings_.probe_timeout);
    boost::asio::post(io_context_, [this, report] {
      probes_in_progress_.erase(report.backend);
      node_.onBackendReport(report);
    });
  });
}

void NodeDaemon::readPlatform(const std::string& path,
                              std::function<void(const std::string&)> callback) {
  if (settings_.platform_addresses.empty() || !reads_in_progress_.insert(path).second) {
    return;
  }
  HttpCall call;
  call.server =
      settings_.platform_addresses[next_platform_++ % settings_.platform_addresses.size()];
  call.target = path;
  call.timeout = settings_.platform_timeout;
  boost::asio::post(workers_, [this, call, callback = std::move(callback)] {
    const auto reply = httpRequest(call);
    boost::asio::post(io_context_, [this, call, reply, callback] {
      reads_in_progress_.erase(call.target);
      if (reply && reply.value().status == kHttpOk) {
        callback(reply.value().body);
        return;
      }
      const std::string cause =
          reply ? "status " + std::to_string(reply.value().status) : reply.error().message;
      log_.write(LogLevel::Warn, "platform", "platform_read_failed",
                 {{"path", call.target}, {"cause", cause}});
    });
  });
}

void NodeDaemon::onStopSignal() {
  leave_timer_.start(time_source_.monotonicTime());
  node_.startLeaving();
}

void NodeDaemon::stopWhenQuiet() {
  if (node_.isLeaving() && leave_timer_.isDone(time_source_.monotonicTime())) {
    io_context_.stop();
  }
}

void NodeDaemon::logRejectedPeers() {
  const std::uint64_t rejected = peers_.rejectedPeers();
  if (rejected != logged_rejected_peers_) {
    log_.write(LogLevel::Warn, "peers", "peers_refused",
               {{"connections", rejected - logged_rejected_peers_}, {"total", rejected}});
    logged_rejected_peers_ = rejected;
  }
}

HttpServerSecurity NodeDaemon::apiSecurity() const {
  HttpServerSecurity security = settings_.api_security;
  security.unauthenticated_paths = {"/healthz"};
  return security;
}

HttpResponse NodeDaemon::onHttpRequest(const HttpRequest& request) {
  const WatchParameters parameters = parseWatch(request);
  if (!parameters.problem.empty()) {
    return problemResponse(kHttpBadRequest, parameters.problem);
  }
  if (parameters.watch) {
    const bool may_wait = ++watches_ <= kMaxConcurrentWatches;
    const bool reached = may_wait && waitForVersionAbove(*parameters.watch);
    --watches_;
    if (!may_wait) {
      return problemResponse(kHttpUnavailable, "too many watches");
    }
    if (!reached) {
      HttpResponse unchanged;
      unchanged.status = kHttpNotModified;
      return unchanged;
    }
  }
  return callOnLoop(io_context_, [this, &request] { return respond(request); });
}

HttpResponse NodeDaemon::respond(const HttpRequest& request) {
  if (request.path != "/metrics") {
    return api_.handle(request);
  }
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = renderMetrics(node_, peers_);
  return response;
}

bool NodeDaemon::waitForVersionAbove(const StatusWatchRequest& watch) {
  const MonotonicTime deadline = time_source_.monotonicTime() + watch.timeout;
  const auto reached = [&] {
    return callOnLoop(io_context_, [&] { return node_.configuration().version() > watch.from; });
  };
  while (!stopping_) {
    if (reached()) {
      return true;
    }
    if (time_source_.monotonicTime() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kWatchPollInterval);
  }
  return false;
}

}  // namespace lugfork
