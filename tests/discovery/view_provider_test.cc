#include "discovery/view_provider.h"

#include <catch2/catch.hpp>
#include <set>

#include "discovery/discovery_fixture.h"
#include "discovery/view_assembly.h"

namespace lugfork {
namespace {

Endpoint balancer(std::uint32_t number) {
  return {number, 1};
}
Endpoint socketOf(std::uint32_t number) {
  return {number, 9};
}

struct ProviderHarness : ViewOwner {
  ProviderHarness() {
    content.startFullRead();
    content.applyPage({{item("a", 3, std::string(20, 'a'))}, false, 10});
    content.finishFullRead();
    content.setPosition(10);
  }

  const ItemView& view() const override { return content; }
  ViewStatus viewStatus() const override { return {content.position(), 50, serves}; }

  void sendRequest(std::uint32_t number, Revision after = 0) {
    provider.onRequest({number, balancer(number), after, 0, 0, kAllParts}, socketOf(number));
  }

  /** @return the messages sent to a balancer's socket since the last call. */
  std::vector<ViewMessage> takeSent(std::uint32_t number) {
    return std::exchange(sent[socketOf(number)], {});
  }

  /** @return the complete body sent to a balancer; fails if there is none. */
  ViewBody bodyFor(std::uint32_t number) {
    ViewAssembly assembly;
    for (const ViewMessage& message : takeSent(number)) {
      assembly.onPart(std::get<ViewPart>(message));
    }
    REQUIRE(assembly.isComplete());
    return decodeViewBody(assembly.body()).value();
  }

  /** Enlarges the view so that one copy takes 10 ms on the link. */
  void makeLarge() {
    const auto noise_random = makeSeededRandom(5);
    std::string noise(25000, ' ');
    for (char& byte : noise) {
      byte = static_cast<char>(noise_random->next());
    }
    content.apply(written("noise", 20, noise));
    content.setPosition(20);
  }

  ManualTimeSource time;
  ManualScheduler scheduler{time};
  ItemView content;
  bool serves = true;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(1);
  PeerDirectory directory{{}, balancer(1000), {}, time, *random};
  std::map<Endpoint, std::vector<ViewMessage>> sent;
  ViewProviderSettings settings;
  ViewProvider provider{
      settings,  *this,
      directory, scheduler,
      time,      [this](Endpoint to, const ViewMessage& message) { sent[to].push_back(message); }};
};

TEST_CASE("a whole view is sent together with the addresses of known peers", "[view_provider]") {
  ProviderHarness harness;
  harness.directory.onAnswer(balancer(5));
  harness.sendRequest(7);
  const ViewBody body = harness.bodyFor(7);
  CHECK(body.is_full_view);
  CHECK(body.at == 10);
  REQUIRE(body.changes.size() == 1);
  CHECK(body.changes[0].item.key == "a");
  CHECK(std::count(body.peers.begin(), body.peers.end(), PeerInfo(balancer(5))) == 1);
  // The requester has been added to the directory.
  CHECK(harness.directory.recentPeers().size() == 2);
}

TEST_CASE("only changes are sent after a known revision, and refused if history is missing",
          "[view_provider]") {
  ProviderHarness harness;
  harness.content.apply(written("b", 12));
  harness.content.setPosition(12);
  harness.sendRequest(7, 10);
  const ViewBody changes = harness.bodyFor(7);
  CHECK_FALSE(changes.is_full_view);
  CHECK(changes.at == 12);
  REQUIRE(changes.changes.size() == 1);
  CHECK(changes.changes[0].item.key == "b");

  harness.sendRequest(7, 12);
  CHECK(harness.bodyFor(7).changes.empty());

  harness.sendRequest(7, 15);
  CHECK(harness.bodyFor(7).at == 15);

  harness.sendRequest(7, 4);
  const auto refused = harness.takeSent(7);
  REQUIRE(refused.size() == 1);
  CHECK_FALSE(std::get<ViewRefusal>(refused.front()).status.serves_view);
}

TEST_CASE("a request before the first view is queued and answered once the view is ready",
          "[view_provider]") {
  ProviderHarness harness;
  harness.serves = false;
  harness.sendRequest(7);
  harness.sendRequest(7);
  const auto waiting = harness.takeSent(7);
  REQUIRE(waiting.size() == 2);
  CHECK(std::get<ViewRefusal>(waiting[0]).is_queued);
  harness.serves = true;
  harness.provider.onViewReady();
  CHECK(harness.bodyFor(7).is_full_view);
  harness.provider.onViewReady();
  CHECK(harness.sent[socketOf(7)].empty());
}

TEST_CASE("a request for changes is not queued while there is no view", "[view_provider]") {
  ProviderHarness harness;
  harness.serves = false;
  harness.sendRequest(8, 10);
  CHECK_FALSE(std::get<ViewRefusal>(harness.takeSent(8).front()).is_queued);
  harness.serves = true;
  harness.provider.onViewReady();
  CHECK(harness.sent[socketOf(8)].empty());
}

TEST_CASE("a queued request expires after its time to live", "[view_provider]") {
  ProviderHarness harness;
  harness.serves = false;
  harness.sendRequest(7);
  harness.takeSent(7);
  harness.time.elapsed += harness.settings.queue_ttl + milliseconds(1);
  harness.serves = true;
  harness.provider.onViewReady();
  CHECK(harness.takeSent(7).empty());
}

TEST_CASE("a queued requester is referred to a peer with a view, but not during fleet start",
          "[view_provider]") {
  ProviderHarness harness;
  harness.serves = false;
  harness.sendRequest(7);
  harness.takeSent(7);
  harness.sendRequest(8, 10);
  // This balancer is about to get its own view, so it does not refer requesters yet.
  harness.sendRequest(7);
  CHECK(std::get<ViewRefusal>(harness.takeSent(7).front()).is_queued);
  harness.time.elapsed += harness.settings.referral_startup_delay;
  harness.sendRequest(7);
  const auto sent = harness.takeSent(7);
  REQUIRE(sent.size() == 1);
  CHECK_FALSE(std::get<ViewRefusal>(sent.front()).is_queued);
  CHECK(std::get<ViewRefusal>(sent.front()).alternatives == std::vector<Endpoint>{balancer(8)});
  harness.time.elapsed += seconds(3);
  harness.sendRequest(9);
  CHECK(std::get<ViewRefusal>(harness.takeSent(9).front()).is_queued);
}

TEST_CASE("a peer's view is relayed unchanged while this balancer has no view of its own",
          "[view_provider]") {
  ProviderHarness harness;
  harness.serves = false;
  harness.sendRequest(7);
  harness.takeSent(7);
  const ViewBody other{{written("other", 30)}, 30, true, {}};
  harness.provider.adopt(encodeViewBody(other), {30, 200, true});
  const ViewBody body = harness.bodyFor(7);
  CHECK(body.at == 30);
  harness.sendRequest(8);
  CHECK(harness.bodyFor(8).at == 30);
  SECTION("its age increases, and requests for changes are refused") {
    harness.time.elapsed += milliseconds(500);
    harness.sendRequest(8);
    CHECK(std::get<ViewPart>(harness.takeSent(8).front()).status.age_ms == 700);
    harness.sendRequest(9, 20);
    CHECK(std::holds_alternative<ViewRefusal>(harness.takeSent(9).front()));
  }
  SECTION("this balancer's view replaces it") {
    harness.serves = true;
    harness.provider.onViewReady();
    harness.sendRequest(9);
    CHECK(harness.bodyFor(9).at == 10);
  }
  SECTION("no view is adopted once this balancer has its own") {
    harness.serves = true;
    harness.provider.onViewReady();
    harness.provider.adopt(encodeViewBody(other), {30, 200, true});
    harness.sendRequest(9);
    CHECK(harness.bodyFor(9).at == 10);
  }
}

TEST_CASE("the queue for the first view is bounded", "[view_provider]") {
  ProviderHarness harness;
  harness.serves = false;
  for (std::uint32_t number = 1; number <= harness.settings.max_queued_requests + 1; ++number) {
    harness.sendRequest(number);
  }
  CHECK(harness.provider.counters().queued == harness.settings.max_queued_requests);
  const auto last = static_cast<std::uint32_t>(harness.settings.max_queued_requests + 1);
  CHECK_FALSE(std::get<ViewRefusal>(harness.takeSent(last).front()).is_queued);
}

TEST_CASE("with the link saturated, requesters wait or are referred to earlier receivers",
          "[view_provider]") {
  ProviderHarness harness;
  harness.makeLarge();
  std::size_t served = 0;
  std::set<std::uint32_t> waiting;
  std::map<Endpoint, int> referrals;
  for (std::uint32_t number = 1; number <= 40; ++number) {
    harness.provider.onRequest({number, balancer(number), 0, 0, 0, kAllParts, linkClassOf(20)},
                               socketOf(number));
    const auto messages = harness.takeSent(number);
    if (std::holds_alternative<ViewPart>(messages.front())) {
      ++served;
      continue;
    }
    const auto& refusal = std::get<ViewRefusal>(messages.front());
    CHECK(refusal.status.serves_view);
    if (refusal.is_queued) {
      waiting.insert(number);
      continue;
    }
    REQUIRE(refusal.alternatives.size() == 1);
    CHECK(refusal.alternatives.front().address < number);
    ++referrals[refusal.alternatives.front()];
  }
  // Four copies of 10 ms each exceed the permitted backlog of 30 ms.
  CHECK(served >= 3);
  CHECK(served <= 4);
  // No receiver is assigned a large part of the others.
  for (const auto& [balancer, count] : referrals) {
    CHECK(count <= 10);
  }
  // Most of the others are not served over this link.
  CHECK(waiting.size() <= 20);
  CHECK(harness.provider.counters().queued == waiting.size());
  harness.provider.onRequest(
      {*waiting.begin(), balancer(*waiting.begin()), 0, 0, 0, kAllParts, linkClassOf(20)},
      socketOf(*waiting.begin()));
  CHECK(std::get<ViewRefusal>(harness.takeSent(*waiting.begin()).front()).is_queued);
  CHECK(harness.provider.counters().queued == waiting.size());
  harness.scheduler.advance(milliseconds(400));
  for (const std::uint32_t number : waiting) {
    CHECK(harness.bodyFor(number).is_full_view);
  }
  // Small changes are always sent.
  harness.sendRequest(50, 20);
  CHECK(std::holds_alternative<ViewPart>(harness.takeSent(50).front()));
}

TEST_CASE("receivers with fast links are served first and relay to those with slow links",
          "[view_provider]") {
  ProviderHarness harness;
  harness.makeLarge();
  harness.serves = false;
  for (std::uint32_t number = 1; number <= 40; ++number) {
    const double link = number % 10 == 0 ? 200 : 20;
    harness.provider.onRequest({number, balancer(number), 0, 0, 0, kAllParts, linkClassOf(link)},
                               socketOf(number));
    harness.takeSent(number);
  }
  harness.serves = true;
  harness.provider.onViewReady();
  int referrals_to_fast = 0;
  int referrals_to_slow = 0;
  for (std::uint32_t number = 1; number <= 40; ++number) {
    const auto messages = harness.takeSent(number);
    const bool has_messages = !messages.empty();
    const auto* refusal = has_messages ? std::get_if<ViewRefusal>(&messages.front()) : nullptr;
    if (refusal != nullptr && !refusal->alternatives.empty()) {
      (refusal->alternatives.front().address % 10 == 0 ? referrals_to_fast : referrals_to_slow) +=
          1;
    }
  }
  CHECK(referrals_to_fast > 25);
  CHECK(referrals_to_slow == 0);
}

TEST_CASE("a repeated request is not referred to the sender that failed to serve it",
          "[view_provider]") {
  ProviderHarness harness;
  harness.makeLarge();
  std::uint32_t requester = 0;
  Endpoint referred_sender;
  while (!referred_sender.isSet()) {
    ++requester;
    REQUIRE(requester < 40);
    harness.provider.onRequest(
        {requester, balancer(requester), 0, 0, 0, kAllParts, linkClassOf(20)}, socketOf(requester));
    const auto messages = harness.takeSent(requester);
    const auto* refusal = std::get_if<ViewRefusal>(&messages.front());
    referred_sender = refusal != nullptr && !refusal->alternatives.empty()
                          ? refusal->alternatives.front()
                          : Endpoint();
  }
  // Retransmission of the same request, as after a lost answer.
  const ViewRequest request{requester, balancer(requester), 0, 0, 0, kAllParts, linkClassOf(20)};
  harness.provider.onRequest(request, socketOf(requester));
  CHECK(std::get<ViewRefusal>(harness.takeSent(requester).front()).alternatives.front() ==
        referred_sender);
  for (std::uint32_t attempt = 0; attempt < 5; ++attempt) {
    ViewRequest repeated = request;
    repeated.request = 1000 + attempt;
    harness.provider.onRequest(repeated, socketOf(requester));
    const auto messages = harness.takeSent(requester);
    const auto* refusal = std::get_if<ViewRefusal>(&messages.front());
    CHECK((refusal == nullptr || refusal->alternatives.empty() ||
           refusal->alternatives.front() != referred_sender));
  }
}

TEST_CASE("a large change is relayed by its first receivers, a small one is sent to every follower",
          "[view_provider]") {
  ProviderHarness harness;
  harness.makeLarge();
  std::uint32_t served = 0;
  for (std::uint32_t number = 1; number <= 40; ++number) {
    harness.sendRequest(number, 10);
    const auto messages = harness.takeSent(number);
    if (std::holds_alternative<ViewPart>(messages.front())) {
      ++served;
      continue;
    }
    const auto& refusal = std::get<ViewRefusal>(messages.front());
    CHECK(refusal.status.serves_view);
    REQUIRE(refusal.alternatives.size() == 1);
    CHECK(refusal.alternatives.front() != balancer(number));
  }
  // Four copies of 10 ms each exceed the permitted backlog of 30 ms.
  CHECK(served >= 3);
  CHECK(served <= 4);
  // A receiver that is up to date gets the next small change at once, whatever the backlog.
  harness.content.apply(written("b", 21));
  harness.content.setPosition(21);
  harness.sendRequest(1, 20);
  CHECK(harness.bodyFor(1).changes.size() == 1);
}

TEST_CASE("only missing parts are resent", "[view_provider]") {
  ProviderHarness harness;
  harness.makeLarge();
  harness.sendRequest(7);
  ViewAssembly assembly;
  const auto messages = harness.takeSent(7);
  for (std::size_t index = 0; index < messages.size(); ++index) {
    if (index != 3 && index != 11) {
      assembly.onPart(std::get<ViewPart>(messages[index]));
    }
  }
  ViewRequest resend{7, balancer(7), 0, 0, 0, 0};
  assembly.fillRequest(resend);
  SECTION("from the same body, even if the view has changed since") {
    harness.content.apply(written("b", 30));
    harness.content.setPosition(30);
    harness.provider.onRequest(resend, socketOf(7));
    const auto parts = harness.takeSent(7);
    CHECK(parts.size() == 2);
    for (const ViewMessage& part : parts) {
      assembly.onPart(std::get<ViewPart>(part));
    }
    CHECK(assembly.isComplete());
  }
  SECTION("all parts, if the requester holds parts of a different body") {
    resend.request = 77;
    resend.body_hash = 1234;
    harness.provider.onRequest(resend, socketOf(7));
    CHECK(harness.bodyFor(7).at == 20);
  }
  SECTION("from the same body, if another balancer sent the other parts") {
    resend.request = 78;
    harness.provider.onRequest(resend, socketOf(7));
    CHECK(harness.takeSent(7).size() == 2);
  }
}

TEST_CASE("a whole view lists balancers that requested it shortly before", "[view_provider]") {
  ProviderHarness harness;
  harness.sendRequest(7);
  harness.takeSent(7);
  harness.time.elapsed += milliseconds(200);
  harness.sendRequest(8);
  const ViewBody body = harness.bodyFor(8);
  CHECK(std::count(body.peers.begin(), body.peers.end(), PeerInfo(balancer(7))) == 1);
}

TEST_CASE("a peers request returns the known peers and adds the requester", "[view_provider]") {
  ProviderHarness harness;
  harness.directory.onAnswer(balancer(5));
  harness.provider.onPeersRequest({77, balancer(7)}, socketOf(7));
  const auto sent = harness.takeSent(7);
  REQUIRE(sent.size() == 1);
  CHECK(std::get<PeersReply>(sent.front()).request == 77);
  CHECK(std::get<PeersReply>(sent.front()).peers ==
        std::vector<PeerInfo>{balancer(1000), balancer(5)});
  CHECK(harness.directory.recentPeers().size() == 2);
}

}  // namespace
}  // namespace lugfork
