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
  void advance(Duration duration) {
    time.elapsed += duration;
    flow.onTick();
  }

  /** @return number of datagrams of this type sent for the attempt. */
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

TEST_CASE("second placement of an attempt is ignored, so that one attempt uses one token") {
  CallHarness call;
  call.placed(0, kToken);
  call.placed(0, kOtherToken);
  call.advance(milliseconds(300));
  REQUIRE(call.count<Data>() == 2);
  for (const Datagram& datagram : call.sent) {
    const Data* data = std::get_if<Data>(&datagram);
    CHECK((data == nullptr || data->token == kToken));
  }
}

TEST_CASE("answer pieces are delivered in order and once, whatever their order of arrival") {
  struct Row {
    const char* name;
    std::vector<std::uint32_t> arrivals;
  };
  const Row rows[] = {{"in order", {0, 1, 2}},
                      {"reversed", {2, 1, 0}},
                      {"each twice", {0, 0, 1, 1, 2, 2}},
                      {"last piece first, then duplicates", {2, 2, 0, 0, 1}}};
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

TEST_CASE("duplicate of the last answer piece is acknowledged again after the call has ended") {
  CallHarness call;
  call.placed();
  call.answer(0, true);
  const std::size_t acknowledged = call.count<AnswerAck>();
  call.answer(0, true);
  CHECK(call.count<AnswerAck>() == acknowledged + 1);
  CHECK(call.delivered.size() == 1);
}

TEST_CASE("attempt that has sent its request is ended only by a refusal of that attempt") {
  struct Row {
    const char* name;
    std::function<void(CallHarness&)> event;
    std::size_t opens_of_next_attempt;
  };
  const Row rows[] = {
      {"late refusal of a retransmitted Open by a balancer without a placement",
       [](CallHarness& call) { call.refused(RefusalScope::Placement, 1); }, 0},
      {"refusal of another attempt",
       [](CallHarness& call) { call.refused(RefusalScope::Attempt, 1, 9); }, 0},
      {"refusal by the backend", [](CallHarness& call) { call.refused(RefusalScope::Attempt, 1); },
       1},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    CallHarness call;
    call.placed();
    row.event(call);
    call.advance(milliseconds(250));
    CHECK(call.count<Open>(1) == row.opens_of_next_attempt);
    CHECK_FALSE(call.flow.result());
  }
}

TEST_CASE("replacement starts the next attempt at once, and earlier refusals are ignored") {
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

TEST_CASE("non-repeatable request ends as unknown when its flow breaks") {
  struct Row {
    const char* name;
    std::function<void(CallHarness&)> event;
  };
  const Row rows[] = {{"reset", [](CallHarness& call) { call.reset(); }},
                      {"silence", [](CallHarness& call) { call.advance(seconds(4)); }}};
  for (const Row& row : rows) {
    INFO(row.name);
    CallHarness call;
    call.placed();
    row.event(call);
    CHECK(call.flow.result() == CallResult::Unknown);
    const std::size_t sent = call.sent.size();
    call.advance(seconds(10));
    call.placed(1);
    CHECK(call.sent.size() == sent);
    CallHarness repeatable(true);
    repeatable.placed();
    row.event(repeatable);
    repeatable.advance(seconds(1));
    CHECK(repeatable.count<Open>(1) == 1);
  }
}

TEST_CASE("refused call ends at once if its retry time is after the deadline") {
  CallHarness call(true, seconds(2));
  call.refused(RefusalScope::Placement, 5000);
  CHECK(call.flow.result() == CallResult::NotRun);
  CHECK(call.flow.retryAfter() >= seconds(5));
}

TEST_CASE("next attempt starts no earlier than the refusal's retry time") {
  CallHarness call(true);
  call.refused(RefusalScope::Placement, 3000);
  call.advance(milliseconds(2999));
  CHECK(call.count<Open>(1) == 0);
  call.advance(milliseconds(1));
  CHECK(call.count<Open>(1) == 1);
}

TEST_CASE("retry waits until the shared retry budget allows it") {
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

TEST_CASE("call without a placement ends as not run, with a retry time") {
  CallerSettings settings;
  settings.max_attempts = 1;
  CallHarness call(false, {}, 1, settings);
  call.advance(seconds(11));
  CHECK(call.flow.result() == CallResult::NotRun);
  CHECK(call.flow.retryAfter() > Duration::zero());
}

TEST_CASE("no keepalive is sent before the backend has answered the attempt") {
  CallHarness call;
  call.placed();
  call.advance(milliseconds(600));
  CHECK(call.count<AnswerAck>() == 0);
  call.flow.onDatagram(DataAck{{kFlow, 0}, 1});
  call.advance(milliseconds(1));
  CHECK(call.count<AnswerAck>() == 1);
}

TEST_CASE("silent flow is probed repeatedly before it counts as lost") {
  for (const bool acknowledged : {false, true}) {
    CallHarness call;
    call.placed();
    if (acknowledged) {
      call.flow.onDatagram(DataAck{{kFlow, 0}, 1});
    }
    for (int tick = 0; tick < 29; ++tick) {
      call.advance(milliseconds(100));
    }
    CHECK((acknowledged ? call.count<AnswerAck>() : call.count<Data>()) >= 20);
    CHECK_FALSE(call.flow.result());
    call.advance(milliseconds(100));
    CHECK(call.flow.result() == CallResult::Unknown);
  }
}

TEST_CASE("client keeps its flow after a pause of its own process") {
  CallHarness call;
  call.placed();
  call.advance(milliseconds(100));
  call.advance(seconds(8));
  CHECK_FALSE(call.flow.result());
  call.answer(0, true);
  CHECK(call.flow.result() == CallResult::Complete);
}

TEST_CASE("cancellation and deadline send a Cancel to the backend and never change a result") {
  CallHarness cancelled;
  cancelled.placed();
  cancelled.flow.cancel();
  CHECK(cancelled.count<Cancel>() == 1);
  CHECK(cancelled.flow.result() == CallResult::DeadlineExceeded);

  CallHarness expired(false, seconds(1));
  expired.placed();
  CHECK(std::get<Data>(expired.sent.back()).deadline_ms == 1000);
  expired.advance(seconds(1));
  CHECK(expired.count<Cancel>() == 1);
  CHECK(expired.flow.result() == CallResult::DeadlineExceeded);

  CallHarness complete;
  complete.placed();
  complete.answer(0, true);
  complete.flow.cancel();
  CHECK(complete.flow.result() == CallResult::Complete);
  CHECK(complete.count<Cancel>() == 0);
}

}  // namespace
}  // namespace lugfork
