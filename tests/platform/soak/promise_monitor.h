#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"

/** What the promises of the users' page forbid, judged by what clients and servers see. */
namespace lugfork::soak {

using SoakClock = std::chrono::steady_clock;
using SoakTime = SoakClock::time_point;
using RequestId = std::uint64_t;

/** Bounds of the promises. */
struct PromiseBounds {
  /** A leaving server gets nothing new after this. */
  std::chrono::milliseconds drain{3000};
  /** A configuration is in force after this. */
  std::chrono::milliseconds configuration{3000};
  /** Bounds in time hold only where nothing was disturbed for this long. */
  std::chrono::milliseconds contact{4000};
  /** A balancer that is asked to stop has ended after this, whoever still uses it. */
  std::chrono::milliseconds grace{6000};
  /** What a busy machine may add to a bound: processes here share the processor with others. */
  std::chrono::milliseconds slack{1500};
};

enum class Promise {
  OwnAnswer,
  AskedRequestsOnly,
  AtMostOnce,
  OwnService,
  LivingFlowsHold,
  LeavingServersGetNothingNew,
  ConfigurationInForce,
  PlannedStopEndsWell,
  PlannedStopEndsInTime,
  AnswersAreWhole,
  ServesAgain,
  NewFlowsAvoidCutServers,
  Last = NewFlowsAvoidCutServers,
};

/** Stable name of a promise, for reports. */
const char* toString(Promise promise);

/** One broken promise. */
struct Breach {
  Promise promise = Promise::OwnAnswer;
  std::string text;
};

/** Takes what clients and servers see and keeps the breaches. */
class PromiseMonitor {
 public:
  explicit PromiseMonitor(PromiseBounds bounds) : bounds_(bounds) {}

  /** A client sends a request for the first time; an empty service stands for any. */
  void onAsked(RequestId request, const std::string& service);

  /** A server runs a request. */
  void onRun(RequestId request, const std::string& service, const std::string& server);

  /** A client gets an answer to one request on a flow on which it waits for another, or the same.
   */
  void onAnswer(RequestId waiting_for, RequestId answered);

  /** A client gets a balancer's reset on an open flow. */
  void onForeignReset(const std::string& flow, const std::string& server, Endpoint balancer,
                      SoakTime now);

  /** Tells whether a balancer and a server are machines of one zone; without it all are. */
  void setInOneZone(std::function<bool(Endpoint balancer, const std::string& server)> in_one_zone) {
    in_one_zone_ = std::move(in_one_zone);
  }

  /** Until then balancers can't reach servers of other zones; those of their own they can. */
  void onZoneCut(SoakTime until);

  /** Of the flows that clients started late in a cut of a zone, so many were opened. */
  void onFlowsInCut(std::size_t started, std::size_t opened);

  /** A server gets the opening of a flow that was sent then. */
  void onOpening(const std::string& server, const std::string& service, Endpoint route,
                 SoakTime sent_at, SoakTime now);

  /** The store has taken the word that a server leaves, or its entry's end. */
  void onLeaving(const std::string& server, SoakTime now);

  /** The store has taken a configuration by which a route goes to a service. */
  void onRouteMoved(Endpoint route, const std::string& service, SoakTime now);

  /** A process, the store, a link or a server is disturbed until then. */
  void onDisturbed(SoakTime until);
  void onServerDisturbed(const std::string& server, SoakTime until);

  /** A balancer that was asked to stop ended with that exit code, and took so long. */
  void onPlannedStop(const std::string& node, int exit_code, std::chrono::milliseconds took);

  /** What was asked of balancers on connections that are used until the process is gone. */
  void onConnections(std::size_t answered, std::size_t cut_short);

  /** In the quiet time after all faults so many of the asked requests were served. */
  void onQuietTime(std::size_t asked, std::size_t served);

  const std::vector<Breach>& breaches() const { return breaches_; }
  std::size_t checks(Promise promise) const;
  /** @return the longest time after its drain that a server got an opening, disturbed or not. */
  std::chrono::milliseconds latestOpeningAfterDrain() const { return latest_after_drain_; }
  /** @return the smallest share of new flows that were opened late in a cut [percent]. */
  std::size_t fewestOpenedInCut() const { return fewest_opened_in_cut_; }

 private:
  struct Asked {
    std::string service;
    int runs = 0;
  };
  struct Moved {
    std::string service;
    SoakTime at;
  };

  bool isUndisturbed(SoakTime since) const { return disturbed_until_ + bounds_.contact < since; }
  void check(Promise promise, bool kept, const std::string& text);

  const PromiseBounds bounds_;
  std::map<RequestId, Asked> asked_;
  std::map<std::string, SoakTime> leaving_;
  std::map<Endpoint, Moved> routes_;
  std::map<std::string, SoakTime> servers_disturbed_until_;
  std::function<bool(Endpoint, const std::string&)> in_one_zone_;
  SoakTime zone_cut_until_;
  std::size_t fewest_opened_in_cut_ = 100;
  SoakTime disturbed_until_;
  std::chrono::milliseconds latest_after_drain_{};
  std::map<Promise, std::size_t> checks_;
  std::vector<Breach> breaches_;
};

}  // namespace lugfork::soak
