#include <iostream>
#include <nlohmann/json.hpp>

#include "programs/ctl_commands.h"
#include "runtime/periodic_timer.h"
#include "runtime/program.h"
#include "runtime/udp_endpoint.h"
#include "sim/caller_model.h"
#include "wire/datagram_codec.h"

namespace lugfork {

namespace {

constexpr Duration kTickInterval = milliseconds(10);

struct RequestSettings {
  Endpoint fabric;
  Endpoint service;
  std::uint32_t service_id = 0;
  Duration deadline = seconds(10);
};

int makeRequest(const RequestSettings& settings) {
  boost::asio::io_context io_context;
  const RealTimeSource time_source;
  const auto random = makeSeededRandom(entropySeed());
  CallerModel* receiver = nullptr;
  UdpEndpoint socket(io_context, Endpoint{0x7f000001, 0},
                     [&receiver](std::span<const std::uint8_t> bytes, Endpoint) {
                       const auto decoded = decodeDatagram(bytes);
                       if (decoded && receiver != nullptr) {
                         receiver->onDatagram(decoded.value());
                       }
                     });
  CallerModel call(CallerSettings(), settings.service, ServiceId(settings.service_id), WorkOrder(),
                   settings.deadline, time_source, *random, [&](const Datagram& datagram) {
                     socket.sendDatagram(settings.fabric, datagram);
                   });
  receiver = &call;
  call.start();
  const PeriodicTimer timer(io_context, kTickInterval, [&] {
    call.onTick();
    if (call.flow().result()) {
      io_context.stop();
    }
  });
  io_context.run();
  const CallResult result = *call.flow().result();
  nlohmann::json output = {{"flow", toString(call.flow().key().flow)},
                           {"result", toString(result)},
                           {"attempts", call.flow().key().attempt + 1},
                           {"reason", toString(call.flow().lastReason())}};
  output["backends"] = nlohmann::json::array();
  for (const BackendId backend : call.observation().backends) {
    output["backends"].push_back(backend.value());
  }
  std::cout << output.dump() << std::endl;
  return result == CallResult::Complete ? kExitSuccess : kExitFailure;
}

}  // namespace

void addRequestCommand(CLI::App& app, CommandBody& run) {
  const auto settings = std::make_shared<RequestSettings>();
  CLI::App* command = app.add_subcommand("request", "makes one call and prints its result");
  addEndpointOption(*command, "--fabric", settings->fabric,
                    "address of the fabric or a balancer (UDP)")
      ->required();
  addEndpointOption(*command, "--service", settings->service, "address of the service")->required();
  command->add_option("--service-id", settings->service_id, "service id, to verify the answer")
      ->required();
  addMillisecondsOption(*command, "--deadline", settings->deadline, milliseconds(1),
                        milliseconds(600000), "time limit of the call");
  command->callback([&run, settings] { run = [settings] { return makeRequest(*settings); }; });
}

}  // namespace lugfork
