#include "runtime/packet_daemon.h"

#include <boost/asio/post.hpp>
#include <csignal>

#include "runtime/api_response.h"
#include "runtime/program.h"

namespace lugfork {

namespace {

constexpr const char* kMetricsPath = "/metrics";
constexpr Duration kLeaveCheckInterval = milliseconds(100);
/** Readiness is asked for twice a second by one party. */
constexpr unsigned kReadyThreads = 1;
constexpr unsigned kControlThreads = 2;
/** No caller that stalls holds a thread for longer. */
constexpr Duration kHttpTimeout = seconds(2);

HttpResponse plainText(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain; version=0.0.4";
  response.body = std::move(body);
  return response;
}

}  // namespace

PacketDaemon::PacketDaemon(boost::asio::io_context& io_context, HttpGetClient& http_client,
                           PacketDaemonSettings settings, const PlatformBinding& platform,
                           EventLog& log, std::function<std::string()> reload)
    : settings_(std::move(settings)),
      codec_(platform.codec),
      log_(log, settings_.log_limits, time_source_),
      random_(makeSeededRandom(entropySeed())),
      io_context_(io_context),
      scheduler_(io_context),
      directory_(settings_.peers, settings_.control_address, settings_.seeds, time_source_,
                 *random_),
      peer_client_(http_client, peerBearerToken(settings_.node.token_key)),
      peer_exchange_(settings_.peer_exchange, settings_.control_address, directory_, peer_client_,
                     scheduler_, *random_),
      store_(platform.source, time_source_),
      source_(settings_.failover, store_, peer_client_, directory_, scheduler_, time_source_),
      upstreams_(settings_.upstream, settings_.control_address, directory_),
      node_(settings_.node, platform.layout, makeNodeSource(), *this, scheduler_, time_source_,
            *random_, log_),
      peer_handler_(node_.follower(), directory_),
      socket_(
          io_context, settings_.packet_address,
          [this](std::span<const std::uint8_t> bytes, Endpoint from) { onDatagram(bytes, from); },
          UdpEndpoint::Receiving::Later),
      signals_(io_context, SIGTERM, SIGINT, SIGHUP),
      leave_timer_(settings_.leave),
      reload_(std::move(reload)) {
  awaitSignal();
  source_.setHost(this);
  store_.setTimeCallback([this](Duration duration) { metrics_.onStoreRead(duration); });
  node_.setResponseCallback([this](Duration duration) { metrics_.onResponse(duration); });
  node_.setHandshakeCallback([this](Duration duration) { metrics_.onHandshake(duration); });
  node_.setCompletionCallback([this] {
    // Packets that came before wait in the socket and are served now.
    ready_ = node_.isReady();
    socket_.startReceiving();
  });
  startServers();
}

ItemSource& PacketDaemon::makeNodeSource() {
  if (!settings_.news_address.isSet()) {
    return source_;
  }
  news_client_ = std::make_unique<UdpNewsClient>(
      io_context_, settings_.news_address, deriveNewsKey(settings_.node.token_key),
      settings_.news_client, [this](Revision after) { return ownNews(after); }, scheduler_,
      *random_);
  relayed_source_ = std::make_unique<RelayedSource>(settings_.relay, source_, peer_client_,
                                                    *news_client_, upstreams_, scheduler_);
  relayed_source_->setHost(this);
  return *relayed_source_;
}

void PacketDaemon::startServers() {
  ready_server_ = std::make_unique<HttpServer>(
      settings_.ready_address,
      [this](const HttpRequest& request) { return onReadyRequest(request); }, HttpServerSecurity(),
      HttpServerLimits{kReadyThreads, Endpoint(), kHttpTimeout});
  if (!settings_.control_address.isSet()) {
    return;
  }
  HttpServerSecurity security;
  security.bearer_token = peerBearerToken(settings_.node.token_key);
  security.open_paths = {kMetricsPath};
  control_server_ = std::make_unique<HttpServer>(
      settings_.control_address,
      [this](const HttpRequest& request) { return onControlRequest(request); }, security,
      HttpServerLimits{kControlThreads, settings_.metrics_address, kHttpTimeout});
}

void PacketDaemon::run() {
  log_.write(LogLevel::Info, "daemon", "started",
             {{"packet_address", toString(settings_.packet_address)},
              {"ready_address", toString(settings_.ready_address)},
              {"version", LUGFORK_VERSION}});
  node_.start();
  if (settings_.control_address.isSet()) {
    peer_exchange_.start();
  }
  io_context_.run();
  closeWhileServing(io_context_, ready_server_);
  log_.write(LogLevel::Info, "daemon", "stopped",
             {{"packets_received", counters_.packets_received}});
}

void PacketDaemon::onDatagram(std::span<const std::uint8_t> bytes, Endpoint from) {
  const MonotonicTime received_at = time_source_.monotonicTime();
  ++counters_.packets_received;
  leave_timer_.onDatagram(received_at);
  const auto decoded = codec_.decode(bytes);
  if (!decoded) {
    ++counters_.packets_invalid[static_cast<std::size_t>(decoded.error())];
    log_.write(LogLevel::Warn, "input", "packet_invalid",
               {{"from", toString(from)},
                {"bytes", static_cast<std::uint64_t>(bytes.size())},
                {"problem", toString(decoded.error())}});
    return;
  }
  packet_ = bytes;
  node_.onPacket(decoded.value());
  metrics_.onPacketHandled(time_source_.monotonicTime() - received_at);
}

void PacketDaemon::forwardPacket(const Backend& backend, CompactToken token) {
  codec_.encodeForBackend(packet_, backend, token, datagram_);
  socket_.sendBytes(backend.address, datagram_);
}

void PacketDaemon::resetCaller(const FlowPacket& packet) {
  // Callers take packets at the port number that balancers have.
  const Endpoint caller{packet.caller.address, settings_.packet_address.port};
  socket_.sendBytes(caller, codec_.encodeReset(packet));
}

void PacketDaemon::awaitSignal() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    if (!error) {
      onSignal(signal);
      awaitSignal();
    }
  });
}

void PacketDaemon::onSignal(int signal) {
  if (signal == SIGHUP) {
    reload();
  } else if (!node_.isLeaving()) {
    startLeaving();
  }
}

void PacketDaemon::reload() {
  const std::string problem = reload_();
  if (problem.empty()) {
    log_.write(LogLevel::Info, "daemon", "reloaded", {});
  } else {
    log_.write(LogLevel::Error, "daemon", "reload_refused", {{"problem", problem}});
  }
}

void PacketDaemon::startLeaving() {
  leave_timer_.start(time_source_.monotonicTime());
  node_.startLeaving();
  ready_ = false;
  closeControlServer();
  stopWhenDone();
}

void PacketDaemon::closeControlServer() {
  boost::asio::post(closer_, [this] {
    control_server_.reset();
    control_closed_ = true;
  });
}

void PacketDaemon::stopWhenDone() {
  if (control_closed_ && leave_timer_.isDone(time_source_.monotonicTime())) {
    io_context_.stop();
    return;
  }
  scheduler_.callAfter(kLeaveCheckInterval, [this] { stopWhenDone(); });
}

void PacketDaemon::onPeerFollowed(Endpoint peer, SourceError cause) {
  log_.write(LogLevel::Warn, "discovery", "peers_followed",
             {{"peer", toString(peer)},
              {"store_error", toString(cause)},
              {"revision", node_.follower().revision()}});
}

void PacketDaemon::onStoreFollowed() {
  log_.write(LogLevel::Info, "discovery", "store_followed",
             {{"revision", node_.follower().revision()}});
}

void PacketDaemon::onUpstreamFollowed(Endpoint upstream) {
  log_.write(LogLevel::Info, "discovery", "upstream_followed",
             {{"upstream", toString(upstream)}, {"revision", node_.follower().revision()}});
}

void PacketDaemon::onUpstreamLeft(Endpoint upstream, std::string_view cause) {
  log_.write(LogLevel::Info, "discovery", "upstream_left",
             {{"upstream", toString(upstream)},
              {"cause", std::string(cause)},
              {"revision", node_.follower().revision()},
              {"age_ms", toMilliseconds(node_.follower().age())}});
}

ViewNews PacketDaemon::ownNews(Revision after) const {
  const ViewFollower& follower = node_.follower();
  const ViewStatus status{follower.view().position(), toWireMilliseconds(follower.age()),
                          follower.isCaughtUp() && !node_.isLeaving()};
  return makeNews(follower.view(), status, after);
}

HttpResponse PacketDaemon::onReadyRequest(const HttpRequest& request) const {
  if (request.path != settings_.ready_path) {
    return problemResponse(kHttpNotFound, "no such resource");
  }
  return ready_ ? plainText(kHttpOk, "ready\n") : plainText(kHttpUnavailable, "not ready\n");
}

HttpResponse PacketDaemon::onControlRequest(const HttpRequest& request) {
  return callOnLoop(io_context_, [&] {
    if (request.path == kMetricsPath) {
      return plainText(
          kHttpOk, metrics_.render({node_, counters_, relayed_source_.get(), log_.suppressed()}));
    }
    return peer_handler_.handle(request);
  });
}

}  // namespace lugfork
