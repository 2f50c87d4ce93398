/** Signals in the first milliseconds of a balancer's start, before its handlers are installed. */

#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <list>

#include "platform/packetd_fixture.h"

namespace lugfork::soak {
namespace {

using platform::Packetd;

constexpr std::size_t kRounds = 6;
constexpr std::size_t kBalancersPerRound = 12;
/** Each balancer of a round gets its signal this much later after its start than the previous one.
 */
constexpr std::chrono::microseconds kSignalDelayStep{750};

/**
 * A pipe in place of a balancer's settings file; the settings are passed as flags instead. The
 * program blocks on the pipe until the test closes it, and then reads an empty file.
 */
class SettingsPipe {
 public:
  explicit SettingsPipe(std::string path) : path_(std::move(path)) {
    std::ifstream file(path_);
    for (std::string line; std::getline(file, line);) {
      addFlag(line);
    }
    std::remove(path_.c_str());
    REQUIRE(::mkfifo(path_.c_str(), S_IRUSR | S_IWUSR) == 0);
  }
  ~SettingsPipe() { unblock(); }
  SettingsPipe(const SettingsPipe&) = delete;
  SettingsPipe& operator=(const SettingsPipe&) = delete;

  const std::vector<std::string>& flags() const { return flags_; }

  /** Waits until the program opens the pipe; later readers of the path find an empty file. */
  bool waitForReader() {
    const bool is_read = Packetd::eventually([&] {
      pipe_ = ::open(path_.c_str(), O_WRONLY | O_NONBLOCK);
      return pipe_ >= 0;
    });
    std::remove(path_.c_str());
    std::ofstream empty(path_);
    return is_read;
  }

  void unblock() {
    if (pipe_ >= 0) {
      ::close(std::exchange(pipe_, -1));
    }
  }

 private:
  /** Adds a flag for a line such as: key = "value" */
  void addFlag(const std::string& line) {
    const std::size_t equals = line.find(" = ");
    std::string value = line.substr(equals + 3);
    std::erase(value, '"');
    if (value != "[]") {
      flags_.push_back("--" + line.substr(0, equals) + "=" + value);
    }
  }

  std::string path_;
  std::vector<std::string> flags_;
  int pipe_ = -1;
};

bool hasEvent(const Packetd& daemon, const std::string& event) {
  return daemon.log().find("\"event\":\"" + event + "\"") != std::string::npos;
}

TEST_CASE("soak seed 7204: signal sent before the handlers are installed is handled once they are",
          "[early_signals]") {
  platform::FakeStore store;
  store.put("op/config", R"({"version":1,"routes":[]})");
  Packetd daemon(store.address());
  SettingsPipe settings(daemon.settingsFile());
  daemon.start(settings.flags());
  REQUIRE(settings.waitForReader());
  SECTION("stop signal ends the balancer in order") {
    const int number = GENERATE(SIGTERM, SIGINT);
    daemon.signal(number);
    settings.unblock();
    CHECK(daemon.wait() == 0);
    CHECK(hasEvent(daemon, "leaving"));
    CHECK(hasEvent(daemon, "stopped"));
  }
  SECTION("reload, then stop signal reloads and ends the balancer") {
    daemon.signal(SIGHUP);
    settings.unblock();
    CHECK(daemon.waitForReady(200));
    CHECK(Packetd::eventually([&] { return hasEvent(daemon, "reloaded"); }));
    daemon.signal(SIGTERM);
    CHECK(daemon.wait() == 0);
  }
}

/** A balancer that gets a signal soon after its start. */
struct SignalledBalancer {
  explicit SignalledBalancer(Endpoint store) : daemon(store) {}
  Packetd daemon;
  int number = 0;
  bool program_started = false;
};

/** @return the exit code, or minus the number of the signal that ended the balancer. */
int waitForExit(SignalledBalancer& balancer) {
  if (balancer.number == SIGHUP) {
    // If SIGHUP has ended the process, the second signal has no receiver.
    CHECK(Packetd::eventually([&] { return balancer.daemon.blocksOrHandles(SIGTERM); }));
    balancer.daemon.signal(SIGTERM);
  }
  return balancer.daemon.wait();
}

/** @return whether the promise on planned stops allows this end. */
bool isAllowed(int exit_code, const SignalledBalancer& balancer) {
  const bool by_first_signal = exit_code == -balancer.number;
  return exit_code == 0 || (by_first_signal && !balancer.program_started);
}

TEST_CASE("signal in the first milliseconds of a start ends no program that has started",
          "[early_signals]") {
  platform::FakeStore store;
  store.put("op/config", R"({"version":1,"routes":[]})");
  std::size_t before_program_start = 0;
  for (std::size_t round = 0; round < kRounds; ++round) {
    std::list<SignalledBalancer> balancers;
    for (std::size_t index = 0; index < kBalancersPerRound; ++index) {
      SignalledBalancer& balancer = balancers.emplace_back(store.address());
      balancer.number = std::array{SIGTERM, SIGHUP, SIGINT}[(round + index) % 3];
      balancer.daemon.start();
      std::this_thread::sleep_for(kSignalDelayStep * index);
      balancer.program_started = balancer.daemon.blocksOrHandles(balancer.number);
      balancer.daemon.signal(balancer.number);
      before_program_start += balancer.program_started ? 0 : 1;
    }
    for (SignalledBalancer& balancer : balancers) {
      CAPTURE(round, balancer.number, balancer.program_started);
      const int exit_code = waitForExit(balancer);
      CAPTURE(exit_code, balancer.daemon.log());
      CHECK(isAllowed(exit_code, balancer));
    }
  }
  std::printf("%zu of %zu signals were sent before the program started\n", before_program_start,
              kRounds * kBalancersPerRound);
}

}  // namespace
}  // namespace lugfork::soak
