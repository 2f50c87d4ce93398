/** Signals in the first milliseconds of a balancer's start, before its handlers stand. */

#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <list>

#include "platform/packetd_fixture.h"

namespace lugfork::soak {
namespace {

using platform::Packetd;

constexpr std::size_t kRounds = 6;
constexpr std::size_t kBalancersOfRound = 12;
/** Signals of a round come so much later after the start, each than the one before. */
constexpr std::chrono::microseconds kStep{750};

/**
 * A pipe in the place of a balancer's settings file, which it gets as flags instead: the program
 * waits in it, and reads nothing there once the test lets it pass.
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
  ~SettingsPipe() { letPass(); }
  SettingsPipe(const SettingsPipe&) = delete;
  SettingsPipe& operator=(const SettingsPipe&) = delete;

  const std::vector<std::string>& flags() const { return flags_; }

  /** Returns once the program reads; whoever reads the path later finds an empty file. */
  bool waitForReader() {
    const bool is_read = Packetd::eventually([&] {
      pipe_ = ::open(path_.c_str(), O_WRONLY | O_NONBLOCK);
      return pipe_ >= 0;
    });
    std::remove(path_.c_str());
    std::ofstream empty(path_);
    return is_read;
  }

  void letPass() {
    if (pipe_ >= 0) {
      ::close(std::exchange(pipe_, -1));
    }
  }

 private:
  /** Takes a line like: key = "value" */
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

TEST_CASE("soak seed 7204: a signal that comes before a balancer's handlers stand is handled later",
          "[early_signals]") {
  platform::FakeStore store;
  store.put("op/config", R"({"version":1,"routes":[]})");
  Packetd daemon(store.address());
  SettingsPipe settings(daemon.settingsFile());
  daemon.start(settings.flags());
  REQUIRE(settings.waitForReader());
  SECTION("a stop") {
    const int number = GENERATE(SIGTERM, SIGINT);
    daemon.signal(number);
    settings.letPass();
    CHECK(daemon.wait() == 0);
    CHECK(hasEvent(daemon, "leaving"));
    CHECK(hasEvent(daemon, "stopped"));
  }
  SECTION("a reload, then a stop") {
    daemon.signal(SIGHUP);
    settings.letPass();
    CHECK(daemon.waitForReady(200));
    CHECK(Packetd::eventually([&] { return hasEvent(daemon, "reloaded"); }));
    daemon.signal(SIGTERM);
    CHECK(daemon.wait() == 0);
  }
}

/** A balancer that got a signal soon after its start. */
struct Signalled {
  explicit Signalled(Endpoint store) : daemon(store) {}
  Packetd daemon;
  int number = 0;
  bool had_begun = false;
};

/** @return the exit code, or minus the number of the signal that ended the balancer. */
int endOf(Signalled& balancer) {
  if (balancer.number == SIGHUP) {
    // Where SIGHUP has ended it, the second signal goes to nobody.
    CHECK(Packetd::eventually([&] { return balancer.daemon.blocksOrHandles(SIGTERM); }));
    balancer.daemon.signal(SIGTERM);
  }
  return balancer.daemon.wait();
}

/** @return whether the end is one that the promise of planned stops allows. */
bool isAllowed(int exit_code, const Signalled& balancer) {
  const bool by_first_signal = exit_code == -balancer.number;
  return exit_code == 0 || (by_first_signal && !balancer.had_begun);
}

TEST_CASE("a signal in the first milliseconds of a start ends no program that has begun",
          "[early_signals]") {
  platform::FakeStore store;
  store.put("op/config", R"({"version":1,"routes":[]})");
  std::size_t before_the_program = 0;
  for (std::size_t round = 0; round < kRounds; ++round) {
    std::list<Signalled> balancers;
    for (std::size_t index = 0; index < kBalancersOfRound; ++index) {
      Signalled& balancer = balancers.emplace_back(store.address());
      balancer.number = std::array{SIGTERM, SIGHUP, SIGINT}[(round + index) % 3];
      balancer.daemon.start();
      std::this_thread::sleep_for(kStep * index);
      balancer.had_begun = balancer.daemon.blocksOrHandles(balancer.number);
      balancer.daemon.signal(balancer.number);
      before_the_program += balancer.had_begun ? 0 : 1;
    }
    for (Signalled& balancer : balancers) {
      CAPTURE(round, balancer.number, balancer.had_begun);
      const int exit_code = endOf(balancer);
      CAPTURE(exit_code, balancer.daemon.log());
      CHECK(isAllowed(exit_code, balancer));
    }
  }
  std::printf("%zu of %zu signals came before the program's first line\n", before_the_program,
              kRounds * kBalancersOfRound);
}

}  // namespace
}  // namespace lugfork::soak
