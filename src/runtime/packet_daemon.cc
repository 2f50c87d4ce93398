#include "runtime/packet_daemon.h"

#include <algorithm>

#include "runtime/api_response.h"
#include "runtime/process_times.h"
#include "runtime/program.h"
#include "runtime/stop_signals.h"

namespace lugfork {

namespace {

constexpr const char* kMetricsPath = "/metrics";
constexpr Duration kLeaveCheckInterval = milliseconds(100);
/** One thread each: one prober requests readiness twice a second, scrapers metrics every few
 * seconds. */
constexpr unsigned kReadyThreads = 1;
constexpr unsigned kControlThreads = 1;
/** Longest time that a stalled HTTP client occupies a thread. */
constexpr Duration kHttpTimeout = seconds(2);
/** Time between reads of the packet socket before the first view: a quarter of the time after which
 * clients retransmit an opening, so that expired openings are recognised. */
constexpr Duration kEarlyReadInterval = milliseconds(50);
/** Packets of open flows kept until the first view: what a node with little CPU forwards in 0.3 s.
 */
constexpr std::size_t kMaxEarlyPackets = 512;
/** Openings served before the socket is read again: about 10 ms on a node with little CPU. */
constexpr std::size_t kMaxOpeningsPerTurn = 16;
/** Openings served per full batch while the socket does not empty, so that new flows are still
 * placed. */
constexpr std::size_t kMaxOpeningsPerFullBatch = 2;
/** Pause after which a datagram most likely arrived alone: a third of the time that a node
 * with little CPU needs to handle one. */
constexpr Duration kIdlePause = std::chrono::microseconds(300);
/** Log lines per second and event while behind; a line costs half as much CPU time as a packet. */
constexpr double kLogLinesPerSecondBehind = 5;

/** @return the entry under which peers list this balancer. */
PeerInfo localPeer(const PacketDaemonSettings& settings) {
  return {settings.control_address, settings.link};
}

SplitFeedSettings makeSplitFeedSettings(const PacketDaemonSettings& settings,
                                        const PlatformLayout& layout) {
  SplitFeedSettings feeds = settings.split_feeds;
  feeds.endpoints_prefix = layout.endpoints_prefix;
  feeds.documents_prefix = layout.documents_prefix;
  feeds.read_documents_separately = settings.link < linkClassOf(kSlowLinkMegabits);
  return feeds;
}

HttpResponse plainText(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain; version=0.0.4";
  response.body = std::move(body);
  return response;
}

}  // namespace

PacketDaemon::PacketDaemon(boost::asio::io_context& io_context, PacketDaemonSettings settings,
                           const PlatformBinding& platform, EventLog& log,
                           std::function<std::string()> reload)
    : settings_(std::move(settings)),
      codec_(platform.codec),
      log_(log, settings_.log_limits, time_source_),
      random_(makeSeededRandom(entropySeed())),
      io_context_(io_context),
      scheduler_(io_context),
      directory_(settings_.peers, localPeer(settings_), settings_.seeds, time_source_, *random_),
      store_(platform.source, time_source_),
      hedged_store_(settings_.hedged_reads, store_, scheduler_),
      split_store_(makeSplitFeedSettings(settings_, platform.layout), hedged_store_, store_,
                   scheduler_, time_source_),
      selector_(settings_.upstream, settings_.control_address, directory_),
      peer_socket_(makePeerSocket()),
      view_client_(makeViewClient()),
      source_(settings_.source, settings_.control_address, split_store_, view_client_.get(),
              directory_, selector_, scheduler_, time_source_),
      node_(settings_.node, platform.layout, source_, *this, scheduler_, time_source_, *random_,
            log_),
      receive_backlog_(settings_.receive_backlog, time_source_.monotonicTime()),
      openings_(settings_.opening_backlog),
      socket_(
          io_context, settings_.packet_address,
          [this](std::span<const std::uint8_t> bytes, Endpoint from) { onDatagram(bytes, from); },
          UdpEndpoint::ReceiveStart::Deferred),
      signals_(io_context, SIGTERM, SIGINT, SIGHUP),
      leave_timer_(settings_.leave),
      reload_(std::move(reload)) {
  awaitSignal();
  unblockStopSignals();
  source_.setListener(this);
  split_store_.setUserKeys(
      [this](const std::string& prefix) { return node_.follower().view().keysUnder(prefix); });
  connectPeers();
  connectEvidence();
  store_.setReadTimeCallback([this](Duration duration) { metrics_.onStoreRead(duration); });
  node_.setProcessorClock(processor_clock_);
  node_.setResponseCallback([this](Duration duration) { metrics_.onResponse(duration); });
  node_.setHandshakeCallback([this](Duration duration) { metrics_.onHandshake(duration); });
  node_.setCompletionCallback([this] { onComplete(); });
}

void PacketDaemon::readEarlyPackets() {
  if (is_serving_) {
    return;
  }
  socket_.receivePending();
  receive_backlog_.onBatch({0, true}, time_source_.monotonicTime());
  batch_read_at_.reset();
  scheduler_.callAfter(kEarlyReadInterval, [this] { readEarlyPackets(); });
}

void PacketDaemon::onComplete() {
  ready_ = node_.isReady();
  is_serving_ = true;
  receive_backlog_.onDelayed(time_source_.monotonicTime());
  socket_.startReceivingBatches([this](const ReceiveBatch& turn) { return onTurn(turn); },
                                [this] { return moreExpected(); });
}

void PacketDaemon::serveEarlyPackets(std::size_t max_count) {
  for (std::size_t served = 0; served < max_count && !early_packets_.empty(); ++served) {
    const std::vector<std::uint8_t> bytes = std::move(early_packets_.front());
    early_packets_.pop_front();
    handle(codec_.decode(bytes).value(), bytes);
  }
  if (early_packets_.empty()) {
    early_packets_.shrink_to_fit();
  }
}

std::unique_ptr<UdpPeerSocket> PacketDaemon::makePeerSocket() {
  if (!settings_.peer_address.isSet() || !settings_.control_address.isSet()) {
    return nullptr;
  }
  auto socket = std::make_unique<UdpPeerSocket>(io_context_, settings_.peer_address,
                                                derivePeerKey(settings_.node.token_key));
  socket->setInvalidDatagramCallback([this](Endpoint from, std::size_t bytes, CodecError cause) {
    log_.write(LogLevel::Warn, "input", "peer_datagram_refused",
               {{"from", toString(from)},
                {"bytes", static_cast<std::uint64_t>(bytes)},
                {"cause", toString(cause)}});
  });
  return socket;
}

std::unique_ptr<ViewClient> PacketDaemon::makeViewClient() {
  if (peer_socket_ == nullptr) {
    return nullptr;
  }
  return std::make_unique<ViewClient>(
      settings_.view_client, localPeer(settings_), peer_socket_->port(),
      [this](Endpoint to, const ViewMessage& message) { peer_socket_->send(to, message); },
      scheduler_, time_source_, *random_);
}

void PacketDaemon::connectPeers() {
  if (peer_socket_ == nullptr) {
    return;
  }
  const ViewOwner& owner = *this;
  provider_ = std::make_unique<ViewProvider>(
      settings_.provider, owner, directory_, scheduler_, time_source_,
      [this](Endpoint to, const ViewMessage& message) { peer_socket_->send(to, message); });
  peer_socket_->setReceivers(view_client_.get(), provider_.get());
  peer_exchange_ = std::make_unique<PeerExchange>(settings_.peer_exchange, directory_,
                                                  *view_client_, scheduler_, *random_);
  view_client_->setWholeViewCallback(
      [this](Bytes body, const ViewStatus& status) { provider_->adopt(std::move(body), status); });
  node_.setIsOwner([this](std::uint64_t server_id) {
    return directory_.isOwner(server_id, kOwnersPerColdBackend);
  });
  node_.setFleetSize([this] { return directory_.fleetSize(); });
  node_.setReadsPlatform([this] { return source_.upstream() == Upstream::Store; });
  node_.setCaughtUpCallback([this] { provider_->onViewReady(); });
}

void PacketDaemon::connectEvidence() {
  if (peer_socket_ == nullptr || !settings_.node.uses.share_evidence) {
    return;
  }
  evidence_exchange_ = std::make_unique<EvidenceExchange>(
      settings_.evidence, node_.evidenceReporter(), node_.sharedEvidence(), directory_,
      settings_.control_address, peer_socket_->port(),
      [this](Endpoint to, const ViewMessage& message) { peer_socket_->send(to, message); },
      scheduler_, time_source_, log_);
  peer_socket_->setEvidenceReceiver(evidence_exchange_.get());
}

void PacketDaemon::startServers() {
  ready_server_ = std::make_unique<HttpServer>(
      settings_.ready_address,
      [this](const HttpRequest& request) { return onReadyRequest(request); }, HttpServerSecurity(),
      HttpServerLimits{kReadyThreads, Endpoint(), kHttpTimeout});
  if (!settings_.control_address.isSet()) {
    return;
  }
  control_server_ = std::make_unique<HttpServer>(
      settings_.control_address,
      [this](const HttpRequest& request) { return onControlRequest(request); },
      HttpServerSecurity(),
      HttpServerLimits{kControlThreads, settings_.metrics_address, kHttpTimeout});
}

void PacketDaemon::run() {
  log_.write(LogLevel::Info, "daemon", "started",
             {{"packet_address", toString(settings_.packet_address)},
              {"ready_address", toString(settings_.ready_address)},
              {"processor_us", std::int64_t{cpuTime().count()}},
              {"version", LUGFORK_VERSION}});
  node_.start();
  if (peer_exchange_ != nullptr) {
    peer_exchange_->start();
  }
  if (evidence_exchange_ != nullptr) {
    evidence_exchange_->start();
  }
  // Started while the first view is read: the readiness check fails until the view is complete.
  startServers();
  readEarlyPackets();
  io_context_.run();
  closeWhileServing(io_context_, ready_server_);
  log_.write(LogLevel::Info, "daemon", "stopped",
             {{"packets_received", counters_.packets_received}});
}

void PacketDaemon::onDatagram(std::span<const std::uint8_t> bytes, Endpoint from) {
  if (!batch_read_at_) {
    last_handled_at_ = time_source_.monotonicTime();
    batch_read_at_ = last_handled_at_;
  }
  ++counters_.packets_received;
  leave_timer_.onDatagram(last_handled_at_);
  const auto decoded = codec_.decode(bytes);
  if (!decoded) {
    ++counters_.packets_invalid[static_cast<std::size_t>(decoded.error())];
    log_.write(LogLevel::Warn, "input", "packet_invalid",
               {{"from", toString(from)},
                {"bytes", static_cast<std::uint64_t>(bytes.size())},
                {"problem", toString(decoded.error())}});
    return;
  }
  const FlowPacket& packet = decoded.value();
  if (packet.opens) {
    addOpening(packet, bytes);
    return;
  }
  if (packet.aborts && !openings_.isEmpty()) {
    openings_.onAbandoned(packet.flow());
  }
  if (is_serving_) {
    handle(packet, bytes);
    return;
  }
  if (early_packets_.size() >= kMaxEarlyPackets) {
    early_packets_.pop_front();
    ++counters_.early_packets_dropped;
  }
  early_packets_.emplace_back(bytes.begin(), bytes.end());
}

void PacketDaemon::handle(const FlowPacket& packet, std::span<const std::uint8_t> bytes) {
  current_packet_ = bytes;
  node_.onPacket(packet);
  const MonotonicTime now = time_source_.monotonicTime();
  metrics_.onPacketHandled(now - last_handled_at_);
  last_handled_at_ = now;
}

void PacketDaemon::addOpening(const FlowPacket& packet, std::span<const std::uint8_t> bytes) {
  PendingOpening opening;
  opening.flow = packet.flow();
  opening.retransmissions = packet.acknowledged;
  opening.read_at = *batch_read_at_;
  opening.queued_since = receive_backlog_.queuedSince(*batch_read_at_);
  opening.earliest_arrival = receive_backlog_.lastEmptyAt();
  opening.bytes.assign(bytes.begin(), bytes.end());
  openings_.add(std::move(opening));
}

bool PacketDaemon::onTurn(const ReceiveBatch& turn) {
  if (!batch_read_at_) {
    last_handled_at_ = time_source_.monotonicTime();
  }
  receive_backlog_.onBatch(turn, batch_read_at_.value_or(last_handled_at_));
  batch_read_at_.reset();
  if (receive_backlog_.evidenceIsStale(last_handled_at_)) {
    node_.onBehind();
  }
  onBehindChanged();
  const bool open_flows_wait = !turn.is_empty || !early_packets_.empty();
  serveEarlyPackets(DatagramReader::kMaxBatchDatagrams);
  serveOpenings(open_flows_wait ? kMaxOpeningsPerFullBatch : kMaxOpeningsPerTurn);
  turn_ended_at_ = last_handled_at_;
  return !openings_.isEmpty() || !early_packets_.empty();
}

bool PacketDaemon::moreExpected() const {
  return batch_read_at_ && *batch_read_at_ - turn_ended_at_ < kIdlePause;
}

void PacketDaemon::onBehindChanged() {
  if (receive_backlog_.socketDatagrams() != receive_buffer_datagrams_) {
    receive_buffer_datagrams_ = receive_backlog_.socketDatagrams();
    socket_.limitReceiveBuffer(receive_buffer_datagrams_);
  }
  if (receive_backlog_.isBehind() == was_behind_) {
    return;
  }
  was_behind_ = receive_backlog_.isBehind();
  log_.setLinesPerSecond(
      was_behind_ ? std::min(kLogLinesPerSecondBehind, settings_.log_limits.lines_per_second)
                  : settings_.log_limits.lines_per_second);
  log_.write(LogLevel::Warn, "daemon", was_behind_ ? "packets_behind" : "packets_caught_up",
             {{"openings_waiting", static_cast<std::uint64_t>(openings_.size())},
              {"socket_datagrams", static_cast<std::uint64_t>(receive_buffer_datagrams_)}});
}

void PacketDaemon::serveOpenings(std::size_t max_count) {
  for (std::size_t served = 0; served < max_count && serveOpening(); ++served) {
    rejectOpening();
  }
}

bool PacketDaemon::serveOpening() {
  const auto opening = openings_.take(last_handled_at_);
  if (!opening) {
    return false;
  }
  FlowPacket packet = codec_.decode(opening->bytes).value();
  packet.may_be_accepted = openings_.mayBeOpen(*opening, last_handled_at_);
  handle(packet, opening->bytes);
  return true;
}

void PacketDaemon::rejectOpening() {
  const auto opening = receive_backlog_.isBehind() ? openings_.takeForRejection(last_handled_at_)
                                                   : std::optional<PendingOpening>();
  if (!opening) {
    return;
  }
  ++counters_.openings_rejected;
  const FlowPacket packet = codec_.decode(opening->bytes).value();
  resetClient(packet);
  if (log_.wouldWrite(LogLevel::Info, "flow", "opening_rejected_behind")) {
    log_.write(LogLevel::Info, "flow", "opening_rejected_behind",
               {{"flow", flowName(packet)},
                {"waited_ms", toMilliseconds(last_handled_at_ - opening->queued_since)}});
  }
}

void PacketDaemon::forwardPacket(const Backend& backend, CompactToken token) {
  codec_.encodeForBackend(current_packet_, backend, token, datagram_);
  socket_.sendBytes(backend.address, datagram_);
  if (!first_packet_at_) {
    first_packet_at_ = timeSinceBoot();
  }
}

void PacketDaemon::resetClient(const FlowPacket& packet) {
  // Clients receive packets on the same port number as balancers.
  const Endpoint client{packet.client.address, settings_.packet_address.port};
  socket_.sendBytes(client, codec_.encodeReset(packet));
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
  closer_ = std::jthread([this] {
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

void PacketDaemon::onUpstreamChanged(Upstream upstream, Endpoint balancer, std::string_view cause) {
  log_.write(LogLevel::Info, "discovery", "upstream_changed",
             {{"upstream", toString(upstream)},
              {"balancer", balancer.isSet() ? toString(balancer) : std::string()},
              {"cause", std::string(cause)},
              {"revision", node_.follower().revision()},
              {"age_ms", toMilliseconds(node_.follower().age())}});
}

ViewStatus PacketDaemon::viewStatus() const {
  const ViewFollower& follower = node_.follower();
  return {follower.view().position(), toWireMilliseconds(follower.age()),
          follower.isCaughtUp() && !node_.isLeaving()};
}

HttpResponse PacketDaemon::onReadyRequest(const HttpRequest& request) const {
  if (request.path != settings_.ready_path) {
    return problemResponse(kHttpNotFound, "no such resource");
  }
  return ready_ ? plainText(kHttpOk, "ready\n") : plainText(kHttpUnavailable, "not ready\n");
}

HttpResponse PacketDaemon::onControlRequest(const HttpRequest& request) {
  if (request.path != kMetricsPath) {
    return problemResponse(kHttpNotFound, "no such resource");
  }
  return callOnLoop(io_context_, [&] {
    return plainText(kHttpOk,
                     metrics_.render({node_, counters_, source_, hedged_store_.hedges(),
                                      provider_.get(), view_client_.get(), peer_socket_.get(),
                                      log_.suppressed(), first_packet_at_, evidence_exchange_.get(),
                                      &receive_backlog_, &openings_}));
  });
}

}  // namespace lugfork
