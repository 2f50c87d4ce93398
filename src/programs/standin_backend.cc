#include <nlohmann/json.hpp>

#include "programs/standin_commands.h"
#include "programs/standin_loop.h"
#include "runtime/backend_probe.h"
#include "runtime/http_server.h"
#include "runtime/periodic_timer.h"
#include "runtime/program.h"
#include "runtime/udp_endpoint.h"
#include "sim/backend_model.h"
#include "wire/datagram_codec.h"

namespace lugfork {

namespace {

using nlohmann::json;

constexpr Duration kTickInterval = milliseconds(10);
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
/** Maximum number of attempts whose path is recorded; further ones are served without a record. */
constexpr std::size_t kMaxRecordedPaths = 100000;

/** Records which balancers forwarded datagrams of each attempt, for demos and tests. */
class FlowPathRecorder {
 public:
  void onDatagram(std::span<const std::uint8_t> bytes, Endpoint balancer) {
    const auto outer = decodeDatagram(bytes);
    const auto* forward = outer ? std::get_if<Forward>(&outer.value()) : nullptr;
    if (forward == nullptr) {
      return;
    }
    const auto inner = decodeDatagram(forward->datagram);
    if (!inner) {
      return;
    }
    if (const auto* data = std::get_if<Data>(&inner.value())) {
      add(data->key, forward->client, balancer);
    } else if (const auto* ack = std::get_if<AnswerAck>(&inner.value())) {
      add(ack->key, forward->client, balancer);
    }
  }

  /** @return an array of objects with flow, attempt, caller and datagrams by balancer. */
  json toJson() const {
    json entries = json::array();
    for (const auto& [key, path] : paths_) {
      json balancers = json::object();
      for (const auto& [balancer, datagrams] : path.datagrams_by_balancer) {
        balancers[toString(balancer)] = datagrams;
      }
      entries.push_back({{"flow", toString(key.flow)},
                         {"attempt", key.attempt},
                         {"caller", toString(path.client)},
                         {"balancers", balancers}});
    }
    return entries;
  }

 private:
  struct Path {
    Endpoint client;
    std::map<Endpoint, std::uint64_t> datagrams_by_balancer;
  };

  void add(const FlowKey& key, Endpoint client, Endpoint balancer) {
    if (paths_.size() >= kMaxRecordedPaths && !paths_.contains(key)) {
      return;
    }
    Path& path = paths_[key];
    path.client = client;
    ++path.datagrams_by_balancer[balancer];
  }

  std::map<FlowKey, Path> paths_;
};

struct BackendProgramSettings {
  BackendModelSettings model;
  std::uint32_t id = 0;
  std::uint32_t service = 0;
  Endpoint listen;
  Endpoint probe_address;
};

/** Runs a BackendModel on real sockets, with its load endpoint and test controls. */
class BackendStandin {
 public:
  explicit BackendStandin(const BackendProgramSettings& settings)
      : socket_(io_context_, settings.listen,
                [this](std::span<const std::uint8_t> bytes, Endpoint from) {
                  paths_.onDatagram(bytes, from);
                  model_.onDatagram(bytes, from);
                }),
        model_(settings.model, time_source_, socket_),
        timer_(io_context_, kTickInterval, [this] { model_.onTick(); }),
        http_(settings.probe_address, [this](const HttpRequest& request) {
          return callOnLoop(io_context_, [this, &request] { return handle(request); });
        }) {}

  void run() { runUntilStopped(io_context_); }

 private:
  HttpResponse handle(const HttpRequest& request) {
    HttpResponse response;
    if (request.path == kLoadPath) {
      response.body = writeBackendReport(model_.report());
    } else if (request.path == "/runs") {
      response.body = runs().dump();
    } else if (request.path == "/flows") {
      response.body = paths_.toJson().dump();
    } else if (request.path == "/control" && request.method == "POST") {
      response.status = control(request.body);
    } else {
      response.status = kNotFound;
    }
    return response;
  }

  json runs() const {
    json entries = json::array();
    for (const RunRecord& run : model_.runs()) {
      entries.push_back({{"flow", toString(run.key.flow)},
                         {"attempt", run.key.attempt},
                         {"may_repeat", run.kind != WorkKind::Upload},
                         {"admitted_at_ms", toUnixMilliseconds(run.admitted_at)},
                         {"admitted_while_draining", run.admitted_while_draining}});
    }
    return entries;
  }

  int control(const std::string& body) {
    const json command = json::parse(body, nullptr, false);
    if (!command.is_object()) {
      return kBadRequest;
    }
    if (command.contains("draining")) {
      model_.setDraining(command["draining"].get<bool>());
    }
    if (command.contains("shedding")) {
      model_.setShedding(command["shedding"].get<bool>());
    }
    if (command.contains("report_factor") || command.contains("report_lag_ms")) {
      model_.setDistortion(
          {command.value("report_factor", 1.0), milliseconds(command.value("report_lag_ms", 0))});
    }
    return HttpResponse().status;
  }

  boost::asio::io_context io_context_;
  RealTimeSource time_source_;
  FlowPathRecorder paths_;
  UdpEndpoint socket_;
  BackendModel model_;
  PeriodicTimer timer_;
  HttpServer http_;
};

}  // namespace

void addBackendCommand(CLI::App& app, CommandBody& run) {
  CLI::App* command =
      app.add_subcommand("backend", "runs a backend that serves requests of one service");
  const auto settings = std::make_shared<BackendProgramSettings>();
  command->add_option("--id", settings->id, "id of the backend in the configuration")->required();
  command->add_option("--service", settings->service, "id of the service in the configuration")
      ->required();
  addEndpointOption(*command, "--listen", settings->listen, "address for requests (UDP)")
      ->required();
  addEndpointOption(*command, "--probe-address", settings->probe_address,
                    "address of /load, /runs, /flows and /control (HTTP)")
      ->required();
  command
      ->add_option("--slots", settings->model.slots,
                   "maximum number of requests processed concurrently")
      ->check(CLI::Range(1, 1000000))
      ->capture_default_str();
  command->add_option("--connections", settings->model.connections, "maximum number of open flows")
      ->check(CLI::Range(1, 10000000))
      ->capture_default_str();
  command
      ->add_option("--queue-limit", settings->model.queue_limit,
                   "maximum number of requests queued for a slot")
      ->check(CLI::Range(0, 1000000))
      ->capture_default_str();
  addMillisecondsOption(*command, "--cold-start", settings->model.cold_start, milliseconds(0),
                        milliseconds(600000),
                        "time after the start during which processing is slower");
  command->callback([&run, settings] {
    run = [settings] {
      settings->model.id = BackendId(settings->id);
      settings->model.service = ServiceId(settings->service);
      BackendStandin(*settings).run();
      return kExitSuccess;
    };
  });
}

}  // namespace lugfork
