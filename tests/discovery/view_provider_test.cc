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

  void ask(std::uint32_t number, Revision after = 0) {
    provider.onRequest({number, balancer(number), after, 0, 0, kAllParts}, socketOf(number));
  }

  /** @return what was sent to a balancer's socket since the last call. */
  std::vector<ViewMessage> takeSent(std::uint32_t number) {
    return std::exchange(sent[socketOf(number)], {});
  }

  /** @return the body that a balancer got in whole; fails where it got none. */
  ViewBody bodyFor(std::uint32_t number) {
    ViewAssembly assembly;
    for (const ViewMessage& message : takeSent(number)) {
      assembly.onPart(std::get<ViewPart>(message));
    }
    REQUIRE(assembly.isComplete());
    return decodeViewBody(assembly.body()).value();
  }

  /** Makes the view so large that one copy takes 10 ms of the link. */
  void makeLarge() {
    const auto noise_source = makeSeededRandom(5);
    std::string noise(25000, ' ');
    for (char& byte : noise) {
      byte = static_cast<char>(noise_source->next());
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

TEST_CASE("a whole view is told with the balancers that are known", "[view_provider]") {
  ProviderHarness harness;
  harness.directory.onAlive(balancer(5));
  harness.ask(7);
  const ViewBody body = harness.bodyFor(7);
  CHECK(body.is_full_view);
  CHECK(body.at == 10);
  REQUIRE(body.changes.size() == 1);
  CHECK(body.changes[0].item.key == "a");
  CHECK(std::count(body.peers.begin(), body.peers.end(), KnownPeer(balancer(5))) == 1);
  // Who asks is known from then on.
  CHECK(harness.directory.recent().size() == 2);
}

TEST_CASE("changes are told alone, and refused where their history is not known",
          "[view_provider]") {
  ProviderHarness harness;
  harness.content.apply(written("b", 12));
  harness.content.setPosition(12);
  harness.ask(7, 10);
  const ViewBody changes = harness.bodyFor(7);
  CHECK_FALSE(changes.is_full_view);
  CHECK(changes.at == 12);
  REQUIRE(changes.changes.size() == 1);
  CHECK(changes.changes[0].item.key == "b");

  harness.ask(7, 12);
  CHECK(harness.bodyFor(7).changes.empty());

  harness.ask(7, 15);
  CHECK(harness.bodyFor(7).at == 15);

  harness.ask(7, 4);
  const auto refused = harness.takeSent(7);
  REQUIRE(refused.size() == 1);
  CHECK_FALSE(std::get<ViewRefusal>(refused.front()).status.serves_view);
}

TEST_CASE("who asks before there is a view is answered once it is there", "[view_provider]") {
  ProviderHarness harness;
  harness.serves = false;
  harness.ask(7);
  harness.ask(7);
  const auto waiting = harness.takeSent(7);
  REQUIRE(waiting.size() == 2);
  CHECK(std::get<ViewRefusal>(waiting[0]).is_queued);
  harness.serves = true;
  harness.provider.onViewReady();
  CHECK(harness.bodyFor(7).is_full_view);
  harness.provider.onViewReady();
  CHECK(harness.sent[socketOf(7)].empty());
}

TEST_CASE("changes are not waited for: who has a view asks somebody else", "[view_provider]") {
  ProviderHarness harness;
  harness.serves = false;
  harness.ask(8, 10);
  CHECK_FALSE(std::get<ViewRefusal>(harness.takeSent(8).front()).is_queued);
  harness.serves = true;
  harness.provider.onViewReady();
  CHECK(harness.sent[socketOf(8)].empty());
}

TEST_CASE("who asked long ago has turned to another balancer", "[view_provider]") {
  ProviderHarness harness;
  harness.serves = false;
  harness.ask(7);
  harness.takeSent(7);
  harness.time.elapsed += harness.settings.queue_lifetime + milliseconds(1);
  harness.serves = true;
  harness.provider.onViewReady();
  CHECK(harness.takeSent(7).empty());
}

TEST_CASE("who waits is sent to a balancer that shows a view, but not as the fleet starts",
          "[view_provider]") {
  ProviderHarness harness;
  harness.serves = false;
  harness.ask(7);
  harness.takeSent(7);
  harness.ask(8, 10);
  // This balancer is about to have a view as well: nobody is sent away at once.
  harness.ask(7);
  CHECK(std::get<ViewRefusal>(harness.takeSent(7).front()).is_queued);
  harness.time.elapsed += harness.settings.hold_at_start;
  harness.ask(7);
  const auto sent = harness.takeSent(7);
  REQUIRE(sent.size() == 1);
  CHECK_FALSE(std::get<ViewRefusal>(sent.front()).is_queued);
  CHECK(std::get<ViewRefusal>(sent.front()).alternatives == std::vector<Endpoint>{balancer(8)});
  harness.time.elapsed += seconds(3);
  harness.ask(9);
  CHECK(std::get<ViewRefusal>(harness.takeSent(9).front()).is_queued);
}

TEST_CASE("another balancer's view is handed on as it came while there is no own one",
          "[view_provider]") {
  ProviderHarness harness;
  harness.serves = false;
  harness.ask(7);
  harness.takeSent(7);
  const ViewBody other{{written("other", 30)}, 30, true, {}};
  harness.provider.adopt(encodeViewBody(other), {30, 200, true});
  const ViewBody body = harness.bodyFor(7);
  CHECK(body.at == 30);
  harness.ask(8);
  CHECK(harness.bodyFor(8).at == 30);
  SECTION("its age grows, and it has no changes to tell") {
    harness.time.elapsed += milliseconds(500);
    harness.ask(8);
    CHECK(std::get<ViewPart>(harness.takeSent(8).front()).status.age_ms == 700);
    harness.ask(9, 20);
    CHECK(std::holds_alternative<ViewRefusal>(harness.takeSent(9).front()));
  }
  SECTION("the own view takes its place") {
    harness.serves = true;
    harness.provider.onViewReady();
    harness.ask(9);
    CHECK(harness.bodyFor(9).at == 10);
  }
  SECTION("none is adopted where there is an own one") {
    harness.serves = true;
    harness.provider.onViewReady();
    harness.provider.adopt(encodeViewBody(other), {30, 200, true});
    harness.ask(9);
    CHECK(harness.bodyFor(9).at == 10);
  }
}

TEST_CASE("the queue is bounded", "[view_provider]") {
  ProviderHarness harness;
  harness.serves = false;
  for (std::uint32_t number = 1; number <= harness.settings.max_queued + 1; ++number) {
    harness.ask(number);
  }
  CHECK(harness.provider.counters().queued == harness.settings.max_queued);
  const auto last = static_cast<std::uint32_t>(harness.settings.max_queued + 1);
  CHECK_FALSE(std::get<ViewRefusal>(harness.takeSent(last).front()).is_queued);
}

TEST_CASE("beyond what the link takes, who asks waits or is sent to one that has a copy before",
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
  // Four copies of 10 ms go beyond the 30 ms that may wait.
  CHECK(served >= 3);
  CHECK(served <= 4);
  // Nobody carries a large part of the others.
  for (const auto& [balancer, count] : referrals) {
    CHECK(count <= 10);
  }
  // Most of the others are not for this link to carry.
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
  // Small changes always go.
  harness.ask(50, 20);
  CHECK(std::holds_alternative<ViewPart>(harness.takeSent(50).front()));
}

TEST_CASE("strong links are served first, and carry the copies of the weak ones",
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
  int by_strong = 0;
  int by_weak = 0;
  for (std::uint32_t number = 1; number <= 40; ++number) {
    const auto messages = harness.takeSent(number);
    const bool is_told = !messages.empty();
    const auto* refusal = is_told ? std::get_if<ViewRefusal>(&messages.front()) : nullptr;
    if (refusal != nullptr && !refusal->alternatives.empty()) {
      (refusal->alternatives.front().address % 10 == 0 ? by_strong : by_weak) += 1;
    }
  }
  CHECK(by_strong > 25);
  CHECK(by_weak == 0);
}

TEST_CASE("a balancer that comes again was not served: its sender is not named again",
          "[view_provider]") {
  ProviderHarness harness;
  harness.makeLarge();
  std::uint32_t asking = 0;
  Endpoint named;
  while (!named.isSet()) {
    ++asking;
    REQUIRE(asking < 40);
    harness.provider.onRequest({asking, balancer(asking), 0, 0, 0, kAllParts, linkClassOf(20)},
                               socketOf(asking));
    const auto messages = harness.takeSent(asking);
    const auto* refusal = std::get_if<ViewRefusal>(&messages.front());
    named = refusal != nullptr && !refusal->alternatives.empty() ? refusal->alternatives.front()
                                                                 : Endpoint();
  }
  // The same request again: the answer was lost.
  const ViewRequest request{asking, balancer(asking), 0, 0, 0, kAllParts, linkClassOf(20)};
  harness.provider.onRequest(request, socketOf(asking));
  CHECK(std::get<ViewRefusal>(harness.takeSent(asking).front()).alternatives.front() == named);
  for (std::uint32_t attempt = 0; attempt < 5; ++attempt) {
    ViewRequest anew = request;
    anew.request = 1000 + attempt;
    harness.provider.onRequest(anew, socketOf(asking));
    const auto messages = harness.takeSent(asking);
    const auto* refusal = std::get_if<ViewRefusal>(&messages.front());
    CHECK((refusal == nullptr || refusal->alternatives.empty() ||
           refusal->alternatives.front() != named));
  }
}

TEST_CASE("a large change is handed on by those that have it, a small one goes to everybody",
          "[view_provider]") {
  ProviderHarness harness;
  harness.makeLarge();
  std::uint32_t served = 0;
  for (std::uint32_t number = 1; number <= 40; ++number) {
    harness.ask(number, 10);
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
  // Four copies of 10 ms go beyond the 30 ms that may wait.
  CHECK(served >= 3);
  CHECK(served <= 4);
  // Who has it hears of the next server at once, however full the link is.
  harness.content.apply(written("b", 21));
  harness.content.setPosition(21);
  harness.ask(1, 20);
  CHECK(harness.bodyFor(1).changes.size() == 1);
}

TEST_CASE("only the parts that are missing are sent again", "[view_provider]") {
  ProviderHarness harness;
  harness.makeLarge();
  harness.ask(7);
  ViewAssembly assembly;
  const auto messages = harness.takeSent(7);
  for (std::size_t index = 0; index < messages.size(); ++index) {
    if (index != 3 && index != 11) {
      assembly.onPart(std::get<ViewPart>(messages[index]));
    }
  }
  ViewRequest again{7, balancer(7), 0, 0, 0, 0};
  assembly.fillRequest(again);
  SECTION("of the same body, also where the view has changed since") {
    harness.content.apply(written("b", 30));
    harness.content.setPosition(30);
    harness.provider.onRequest(again, socketOf(7));
    const auto parts = harness.takeSent(7);
    CHECK(parts.size() == 2);
    for (const ViewMessage& part : parts) {
      assembly.onPart(std::get<ViewPart>(part));
    }
    CHECK(assembly.isComplete());
  }
  SECTION("or all, where the balancer that asks has begun with another one's body") {
    again.request = 77;
    again.body_hash = 1234;
    harness.provider.onRequest(again, socketOf(7));
    CHECK(harness.bodyFor(7).at == 20);
  }
  SECTION("of that body too, where another balancer sent the others") {
    again.request = 78;
    harness.provider.onRequest(again, socketOf(7));
    CHECK(harness.takeSent(7).size() == 2);
  }
}

TEST_CASE("who starts late in a crowd is told of the others in it", "[view_provider]") {
  ProviderHarness harness;
  harness.ask(7);
  harness.takeSent(7);
  harness.time.elapsed += milliseconds(200);
  harness.ask(8);
  const ViewBody body = harness.bodyFor(8);
  CHECK(std::count(body.peers.begin(), body.peers.end(), KnownPeer(balancer(7))) == 1);
}

TEST_CASE("a balancer tells whom it knows, and comes to know who asks", "[view_provider]") {
  ProviderHarness harness;
  harness.directory.onAlive(balancer(5));
  harness.provider.onPeersRequest({77, balancer(7)}, socketOf(7));
  const auto sent = harness.takeSent(7);
  REQUIRE(sent.size() == 1);
  CHECK(std::get<PeersReply>(sent.front()).request == 77);
  CHECK(std::get<PeersReply>(sent.front()).peers ==
        std::vector<KnownPeer>{balancer(1000), balancer(5)});
  CHECK(harness.directory.recent().size() == 2);
}

}  // namespace
}  // namespace lugfork
