#include "client/caller_flow.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

#include "flow/router_harness.h"

namespace lugfork {
namespace {

const FlowId kFlow{3, 4};
const TokenBytes kToken(52, 1);
const TokenBytes kOtherToken(52, 2);

class CallHarness : public CallerOutputs {
 public:
  explicit CallHarness(bool may_repeat = false, Duration deadline = {}, std::size_t pieces = 1,
                       CallerSettings settings = {})
      : flow(settings, request(may_repeat, deadline, pieces), kFlow, time, *random, *this) {
    flow.start();
  }

  void sendToService(const Datagram& datagram) override { sent.push_back(datagram); }
  void onAnswerPiece(const Answer& piece) override { delivered.push_back(piece.sequence); }

  void placed(std::uint8_t attempt = 0, const TokenBytes& token = kToken) {
    flow.onDatagram(Placed{{kFlow, attempt}, token});
  }
  void answer(std::uint32_t sequence, bool last, std::uint8_t attempt = 0) {
    flow.onDatagram(Answer{{kFlow, attempt}, ServiceId(1), BackendId(1), sequence, last, {}});
  }
  void refused(RefusalScope scope, std::uint32_t retry_after_ms, std::uint8_t attempt = 0,
               const TokenBytes& replacement = {}) {
    flow.onDatagram(
        Refused{{kFlow, attempt}, Reason::Overloaded, retry_after_ms, replacement, scope});
  }
  void reset(std::uint8_t attempt = 0) {
    flow.onDatagram(Reset{{kFlow, attempt}, Reason::BackendGone, 100});
  }
  void pass(Duration duration) {
    time.elapsed += duration;
    flow.onTick();
  }

  /** @return how many datagrams of that type were sent under the attempt. */
  template <typename Body>
  std::size_t count(std::uint8_t attempt = 0) const {
    return static_cast<std::size_t>(
        std::count_if(sent.begin(), sent.end(), [&](const Datagram& datagram) {
          const Body* body = std::get_if<Body>(&datagram);
          return body != nullptr && body->key == FlowKey{kFlow, attempt};
        }));
  }

  ManualTimeSource time;
  std::unique_ptr<RandomGenerator> random = makeSeededRandom(5);
  std::vector<Datagram> sent;
  std::vector<std::uint32_t> delivered;
  CallerFlow flow;

 private:
  static CallRequest request(bool may_repeat, Duration deadline, std::size_t pieces) {
    CallRequest request;
    request.service = kListen;
    request.may_repeat = may_repeat;
    request.deadline = deadline;
    request.make_pieces = [pieces](std::uint32_t) { return std::vector<Bytes>(pieces); };
    return request;
  }
};

TEST_CASE("one attempt uses one token: a second placement is ignored") {
  CallHarness call;
  call.placed(0, kToken);
  call.placed(0, kOtherToken);
  call.pass(milliseconds(300));
  REQUIRE(call.count<Data>() == 2);
  for (const Datagram& datagram : call.sent) {
    const Data* data = std::get_if<Data>(&datagram);
    CHECK((data == nullptr || data->token == kToken));
  }
}

TEST_CASE("answers are delivered whole, in order and once, however they arrive") {
  struct Row {
    const char* name;
    std::vector<std::uint32_t> arrivals;
  };
  const Row rows[] = {{"in order", {0, 1, 2}},
                      {"reversed", {2, 1, 0}},
                      {"each twice", {0, 0, 1, 1, 2, 2}},
                      {"end first, then duplicates", {2, 2, 0, 0, 1}}};
  for (const Row& row : rows) {
    INFO(row.name);
    CallHarness call;
    call.placed();
    call.answer(0, true, 7);
    call.flow.onDatagram(Answer{{{9, 9}, 0}, ServiceId(1), BackendId(1), 0, true, {}});
    CHECK_FALSE(call.flow.result());
    for (const std::uint32_t sequence : row.arrivals) {
      call.answer(sequence, sequence == 2);
    }
    CHECK(call.delivered == std::vector<std::uint32_t>{0, 1, 2});
    CHECK(call.flow.result() == CallResult::Complete);
  }
}

TEST_CASE("a duplicate of the last answer piece is confirmed again after the end") {
  CallHarness call;
  call.placed();
  call.answer(0, true);
  const std::size_t confirmed = call.count<AnswerAck>();
  call.answer(0, true);
  CHECK(call.count<AnswerAck>() == confirmed + 1);
  CHECK(call.delivered.size() == 1);
}

TEST_CASE("only a refusal of the attempt itself ends an attempt that has sent its request") {
  struct Row {
    const char* name;
    std::function<void(CallHarness&)> event;
    std::size_t opens_of_next_attempt;
  };
  const Row rows[] = {
      {"late refusal of a resent Open, by a balancer that could not place",
       [](CallHarness& call) { call.refused(RefusalScope::Placement, 1); }, 0},
      {"refusal of another attempt",
       [](CallHarness& call) { call.refused(RefusalScope::Attempt, 1, 9); }, 0},
      {"refusal by the back end", [](CallHarness& call) { call.refused(RefusalScope::Attempt, 1); },
       1},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    CallHarness call;
    call.placed();
    row.event(call);
    call.pass(milliseconds(250));
    CHECK(call.count<Open>(1) == row.opens_of_next_attempt);
    CHECK_FALSE(call.flow.result());
  }
}

TEST_CASE("a replacement starts the next attempt at once, and old refusals are ignored") {
  CallHarness call;
  call.placed();
  call.refused(RefusalScope::Attempt, 500, 0, kOtherToken);
  CHECK(call.count<Data>(1) == 1);
  call.refused(RefusalScope::Attempt, 500, 0, kToken);
  CHECK(call.count<Data>(1) == 1);
  CHECK(call.count<Open>(1) == 0);
  call.answer(0, true, 1);
  CHECK(call.flow.result() == CallResult::Complete);
}

TEST_CASE("a request that may not be repeated ends as unknown when its flow breaks") {
  struct Row {
    const char* name;
    std::function<void(CallHarness&)> event;
  };
  const Row rows[] = {{"reset", [](CallHarness& call) { call.reset(); }},
                      {"silence", [](CallHarness& call) { call.pass(seconds(4)); }}};
  for (const Row& row : rows) {
    INFO(row.name);
    CallHarness call;
    call.placed();
    row.event(call);
    CHECK(call.flow.result() == CallResult::Unknown);
    const std::size_t sent = call.sent.size();
    call.pass(seconds(10));
    call.placed(1);
    CHECK(call.sent.size() == sent);
    CallHarness repeatable(true);
    repeatable.placed();
    row.event(repeatable);
    repeatable.pass(seconds(1));
    CHECK(repeatable.count<Open>(1) == 1);
  }
}

TEST_CASE("a refusal is final at once where its time to come back is after the deadline") {
  CallHarness call(true, seconds(2));
  call.refused(RefusalScope::Placement, 5000);
  CHECK(call.flow.result() == CallResult::NotRun);
  CHECK(call.flow.retryAfter() >= seconds(5));
}

TEST_CASE("no attempt begins before the time that the refusal gave") {
  CallHarness call(true);
  call.refused(RefusalScope::Placement, 3000);
  call.pass(milliseconds(2999));
  CHECK(call.count<Open>(1) == 0);
  call.pass(milliseconds(1));
  CHECK(call.count<Open>(1) == 1);
}

TEST_CASE("a call waits for the retry budget that it shares with others") {
  CallHarness call(true);
  RetryBudget budget({0, 1, 1}, call.time);
  REQUIRE(budget.tryTake());
  CallRequest request;
  request.make_pieces = [](std::uint32_t) { return std::vector<Bytes>(1); };
  CallerFlow flow({}, request, kFlow, call.time, *call.random, call, &budget);
  flow.start();
  call.sent.clear();
  flow.onDatagram(Refused{{kFlow, 0}, Reason::Overloaded, 1, {}, RefusalScope::Placement});
  for (int tick = 0; tick < 9; ++tick) {
    call.time.elapsed += milliseconds(100);
    flow.onTick();
  }
  CHECK(call.count<Open>(1) == 0);
  CHECK_FALSE(flow.result());
  for (int tick = 0; tick < 10; ++tick) {
    call.time.elapsed += milliseconds(100);
    flow.onTick();
  }
  CHECK(flow.key().attempt == 1);
}

TEST_CASE("a call that was never placed ends as not run, with a time to come back") {
  CallerSettings settings;
  settings.max_attempts = 1;
  CallHarness call(false, {}, 1, settings);
  call.pass(seconds(11));
  CHECK(call.flow.result() == CallResult::NotRun);
  CHECK(call.flow.retryAfter() > Duration::zero());
}

TEST_CASE("no keepalive goes out before the back end knows the flow") {
  CallHarness call;
  call.placed();
  call.pass(milliseconds(600));
  CHECK(call.count<AnswerAck>() == 0);
  call.flow.onDatagram(DataAck{{kFlow, 0}, 1});
  call.pass(milliseconds(1));
  CHECK(call.count<AnswerAck>() == 1);
}

TEST_CASE("a silent flow is probed often before it counts as lost") {
  for (const bool confirmed : {false, true}) {
    CallHarness call;
    call.placed();
    if (confirmed) {
      call.flow.onDatagram(DataAck{{kFlow, 0}, 1});
    }
    for (int tick = 0; tick < 29; ++tick) {
      call.pass(milliseconds(100));
    }
    CHECK((confirmed ? call.count<AnswerAck>() : call.count<Data>()) >= 20);
    CHECK_FALSE(call.flow.result());
    call.pass(milliseconds(100));
    CHECK(call.flow.result() == CallResult::Unknown);
  }
}

TEST_CASE("a caller that stood still itself does not take its flow for lost") {
  CallHarness call;
  call.placed();
  call.pass(milliseconds(100));
  call.pass(seconds(8));
  CHECK_FALSE(call.flow.result());
  call.answer(0, true);
  CHECK(call.flow.result() == CallResult::Complete);
}

TEST_CASE("cancellation and the deadline tell the back end, and never change a result") {
  CallHarness cancelled;
  cancelled.placed();
  cancelled.flow.cancel();
  CHECK(cancelled.count<Cancel>() == 1);
  CHECK(cancelled.flow.result() == CallResult::DeadlineExceeded);

  CallHarness late(false, seconds(1));
  late.placed();
  CHECK(std::get<Data>(late.sent.back()).deadline_ms == 1000);
  late.pass(seconds(1));
  CHECK(late.count<Cancel>() == 1);
  CHECK(late.flow.result() == CallResult::DeadlineExceeded);

  CallHarness whole;
  whole.placed();
  whole.answer(0, true);
  whole.flow.cancel();
  CHECK(whole.flow.result() == CallResult::Complete);
  CHECK(whole.count<Cancel>() == 0);
}

}  // namespace
}  // namespace lugfork
