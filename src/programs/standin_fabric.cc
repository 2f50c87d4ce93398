#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include "balancer/machine_list.h"
#include "programs/standin_commands.h"
#include "programs/standin_loop.h"
#include "runtime/http_client.h"
#include "runtime/periodic_timer.h"
#include "runtime/program.h"
#include "runtime/udp_endpoint.h"
#include "wire/datagram_codec.h"

namespace lugfork {

namespace {

constexpr int kOk = 200;
constexpr std::size_t kHealthCheckThreads = 8;

struct FabricSettings {
  Endpoint listen;
  Endpoint platform;
  Duration health_interval = milliseconds(100);
  Duration health_timeout = milliseconds(300);
};

/** Sends each datagram to a random balancer among those that pass its health checks. */
class FabricStandin {
 public:
  explicit FabricStandin(const FabricSettings& settings)
      : settings_(settings),
        random_(makeSeededRandom(entropySeed())),
        socket_(io_context_, settings.listen,
                [this](std::span<const std::uint8_t> bytes, Endpoint from) { spray(bytes, from); }),
        timer_(io_context_, settings.health_interval, [this] { checkHealth(); }),
        workers_(kHealthCheckThreads) {}

  void run() {
    runUntilStopped(io_context_);
    workers_.join();
  }

 private:
  void spray(std::span<const std::uint8_t> bytes, Endpoint client) {
    if (ready_.empty()) {
      return;
    }
    const Endpoint balancer = ready_[random_->below(ready_.size())];
    socket_.sendDatagram(balancer, Sprayed{client, Bytes(bytes.begin(), bytes.end())});
  }

  void checkHealth() {
    if (check_in_progress_) {
      return;
    }
    check_in_progress_ = true;
    boost::asio::post(workers_, [this] {
      std::vector<Endpoint> ready = readyBalancers();
      boost::asio::post(io_context_, [this, ready = std::move(ready)] {
        ready_ = ready;
        check_in_progress_ = false;
      });
    });
  }

  std::vector<Endpoint> readyBalancers() {
    refreshMachines();
    std::vector<Endpoint> ready;
    for (const Machine& machine : machines_) {
      HttpCall call;
      call.server = machine.api_address;
      call.target = "/healthz";
      call.timeout = settings_.health_timeout;
      const auto reply = httpRequest(call);
      if (reply && reply.value().status == kOk) {
        ready.push_back(machine.data_address);
      }
    }
    return ready;
  }

  void refreshMachines() {
    HttpCall call;
    call.server = settings_.platform;
    call.target = "/v1/machines";
    const auto reply = httpRequest(call);
    if (!reply || reply.value().status != kOk) {
      return;
    }
    auto machines = parseMachineList(reply.value().body);
    if (machines) {
      machines_ = std::move(machines.value());
    }
  }

  const FabricSettings settings_;
  boost::asio::io_context io_context_;
  std::unique_ptr<RandomGenerator> random_;
  UdpEndpoint socket_;
  PeriodicTimer timer_;
  boost::asio::thread_pool workers_;
  std::vector<Endpoint> ready_;
  bool check_in_progress_ = false;
  /** Accessed only by the health check in progress, of which there is at most one. */
  std::vector<Machine> machines_;
};

}  // namespace

void addFabricCommand(CLI::App& app, CommandBody& run) {
  CLI::App* command = app.add_subcommand("fabric", "sprays datagrams over the ready balancers");
  const auto settings = std::make_shared<FabricSettings>();
  addEndpointOption(*command, "--listen", settings->listen,
                    "address for datagrams of clients (UDP)")
      ->required();
  addEndpointOption(*command, "--platform", settings->platform,
                    "address of the platform that serves the machine list")
      ->required();
  addMillisecondsOption(*command, "--health-interval", settings->health_interval, milliseconds(10),
                        milliseconds(60000), "time between two rounds of health checks");
  command->callback([&run, settings] {
    run = [settings] {
      FabricStandin(*settings).run();
      return kExitSuccess;
    };
  });
}

}  // namespace lugfork
