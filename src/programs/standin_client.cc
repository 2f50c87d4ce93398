#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <unordered_map>

#include "programs/standin_commands.h"
#include "runtime/periodic_timer.h"
#include "runtime/program.h"
#include "runtime/udp_endpoint.h"
#include "sim/caller_model.h"
#include "wire/datagram_codec.h"

namespace lugfork {

namespace {

using nlohmann::json;

constexpr Duration kTickInterval = milliseconds(10);

struct ClientProgramSettings {
  Endpoint fabric;
  Endpoint service;
  std::uint32_t service_id = 0;
  std::uint32_t calls = 1;
  WorkOrder order;
  Duration spacing = milliseconds(5);
  Duration deadline{};
  Duration time_limit = seconds(120);
};

/** Makes calls at a fixed interval and reports their results. */
class ClientStandin {
 public:
  explicit ClientStandin(const ClientProgramSettings& settings)
      : settings_(settings),
        random_(makeSeededRandom(entropySeed())),
        socket_(io_context_, Endpoint{0x7f000001, 0},
                [this](std::span<const std::uint8_t> bytes, Endpoint) { onDatagram(bytes); }),
        timer_(io_context_, kTickInterval, [this] { onTick(); }),
        started_at_(time_source_.monotonicTime()) {}

  /** @return true if every call got its complete, correct answer without a broken flow. */
  bool run() {
    io_context_.run();
    std::cout << summary().dump() << std::endl;
    return complete_call_count_ == settings_.calls && broken_attempt_count_ == 0 &&
           wrong_piece_count_ == 0;
  }

 private:
  void onDatagram(std::span<const std::uint8_t> bytes) {
    const auto decoded = decodeDatagram(bytes);
    if (!decoded) {
      return;
    }
    const auto flow = flowOfReply(decoded.value());
    const auto call = flow ? calls_.find(*flow) : calls_.end();
    if (call != calls_.end()) {
      call->second->onDatagram(decoded.value());
    }
  }

  void onTick() {
    const Duration elapsed = time_source_.monotonicTime() - started_at_;
    while (started_call_count_ < settings_.calls &&
           elapsed >= settings_.spacing * started_call_count_) {
      startCall();
    }
    for (auto call = calls_.begin(); call != calls_.end();) {
      call->second->onTick();
      if (call->second->flow().result()) {
        record(*call->second);
        call = calls_.erase(call);
      } else {
        ++call;
      }
    }
    const bool is_done = started_call_count_ == settings_.calls && calls_.empty();
    if (is_done || elapsed >= settings_.time_limit) {
      io_context_.stop();
    }
  }

  void startCall() {
    ++started_call_count_;
    auto call = std::make_unique<CallerModel>(
        CallerSettings(), settings_.service, ServiceId(settings_.service_id), settings_.order,
        settings_.deadline, time_source_, *random_,
        [this](const Datagram& datagram) { socket_.sendDatagram(settings_.fabric, datagram); });
    CallerModel& model = *call;
    calls_.emplace(model.observation().flow, std::move(call));
    model.start();
  }

  void record(const CallerModel& call) {
    const CallResult result = *call.flow().result();
    ++results_[toString(result)];
    complete_call_count_ += result == CallResult::Complete ? 1 : 0;
    broken_attempt_count_ += call.flow().brokenAttemptCount();
    wrong_piece_count_ += call.observation().wrong_pieces;
    piece_count_ += call.observation().pieces;
    multi_backend_call_count_ += call.observation().backends.size() > 1 ? 1 : 0;
    for (const BackendId backend : call.observation().backends) {
      ++calls_by_backend_[backend.value()];
    }
  }

  json summary() const {
    json by_backend = json::object();
    for (const auto& [backend, count] : calls_by_backend_) {
      by_backend[std::to_string(backend)] = count;
    }
    return {{"calls", started_call_count_},
            {"results", results_},
            {"not_ended", calls_.size()},
            {"broken", broken_attempt_count_},
            {"wrong_pieces", wrong_piece_count_},
            {"pieces", piece_count_},
            {"served_by_more_than_one_backend", multi_backend_call_count_},
            {"calls_by_backend", by_backend}};
  }

  const ClientProgramSettings settings_;
  boost::asio::io_context io_context_;
  RealTimeSource time_source_;
  std::unique_ptr<RandomGenerator> random_;
  UdpEndpoint socket_;
  PeriodicTimer timer_;
  const MonotonicTime started_at_;
  std::unordered_map<FlowId, std::unique_ptr<CallerModel>> calls_;
  std::uint32_t started_call_count_ = 0;
  std::uint32_t complete_call_count_ = 0;
  std::uint64_t broken_attempt_count_ = 0;
  std::uint64_t wrong_piece_count_ = 0;
  std::uint64_t piece_count_ = 0;
  std::uint64_t multi_backend_call_count_ = 0;
  std::map<std::string, std::uint64_t> results_;
  std::map<std::uint32_t, std::uint64_t> calls_by_backend_;
};

void addOrderOptions(CLI::App& command, WorkOrder& order) {
  const std::map<std::string, WorkKind> kinds = {
      {"stream", WorkKind::Stream}, {"precheck", WorkKind::PreCheck}, {"upload", WorkKind::Upload}};
  command.add_option("--kind", order.kind, "kind of request: stream, precheck or upload")
      ->transform(CLI::CheckedTransformer(kinds, CLI::ignore_case));
  command
      .add_option("--request-pieces", order.request_pieces,
                  "number of pieces of the request's payload")
      ->check(CLI::Range(0, 100000));
  command.add_option("--answer-pieces", order.answer_pieces, "number of pieces of the answer")
      ->check(CLI::Range(1, 1000000));
  command
      .add_option("--answer-interval", order.answer_interval_ms,
                  "time between two pieces of the answer [ms]")
      ->check(CLI::Range(0, 60000));
  command.add_option("--work", order.work_ms, "time for which a request occupies a slot [ms]")
      ->check(CLI::Range(0, 600000));
}

}  // namespace

void addClientCommand(CLI::App& app, CommandBody& run) {
  CLI::App* command =
      app.add_subcommand("caller", "runs a client that makes calls and checks the answers");
  const auto settings = std::make_shared<ClientProgramSettings>();
  addEndpointOption(*command, "--fabric", settings->fabric, "address of the fabric (UDP)")
      ->required();
  addEndpointOption(*command, "--service", settings->service, "address of the service")->required();
  command->add_option("--service-id", settings->service_id, "service id, to verify the answers")
      ->required();
  command->add_option("--calls", settings->calls, "number of calls")->check(CLI::Range(1, 100000));
  addOrderOptions(*command, settings->order);
  addMillisecondsOption(*command, "--spacing", settings->spacing, milliseconds(0),
                        milliseconds(60000), "time between the starts of two calls");
  addMillisecondsOption(*command, "--deadline", settings->deadline, milliseconds(0),
                        milliseconds(600000), "time limit of a call; 0 for none");
  addMillisecondsOption(*command, "--time-limit", settings->time_limit, milliseconds(1),
                        milliseconds(3600000), "time limit of the run");
  command->callback([&run, settings] {
    run = [settings] { return ClientStandin(*settings).run() ? kExitSuccess : kExitFailure; };
  });
}

}  // namespace lugfork
