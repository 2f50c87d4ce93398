#include "sim/backend_model.h"

#include <catch2/catch.hpp>

#include "flow/token.h"
#include "sim/simulated_process.h"
#include "wire/datagram_codec.h"

namespace lugfork {
namespace {

const Endpoint kBalancer{0x7f000001, 1};
const Endpoint kCaller{0x7f000001, 2};

class RecordingSender : public DatagramSender {
 public:
  void sendDatagram(Endpoint, const Datagram& datagram) override { sent.push_back(datagram); }
  std::vector<Datagram> sent;
};

/** One backend on a virtual clock, and an upload placed on it. */
class BackendFixture {
 public:
  BackendFixture() : time_(queue_, Duration::zero()) {
    settings_.id = BackendId(1);
    settings_.service = ServiceId(1);
    model_ = std::make_unique<BackendModel>(settings_, time_, sender_);
    runFor(seconds(2));
    Placement placement;
    placement.key = key_;
    placement.service = ServiceId(1);
    placement.backend = BackendId(1);
    placement.placed_at = time_.systemTime();
    token_ = sealToken(placement, TokenKey());
  }

  void runFor(Duration duration) {
    const MonotonicTime end = queue_.now() + duration;
    while (queue_.now() < end) {
      queue_.runFor(milliseconds(100));
      model_->onTick();
    }
  }

  void sendUpload(ForwardMode mode) {
    WorkOrder order;
    order.kind = WorkKind::Upload;
    const Data data{Endpoint{1, 1}, key_, token_, 0, true, 0, encodeWorkOrder(order)};
    forward(data, mode);
  }

  void acknowledgeAnswer() {
    forward(AnswerAck{Endpoint{1, 1}, key_, token_, 1}, ForwardMode::ContinueOnly);
  }

  /** @return the refusals sent so far. */
  std::vector<BackendRefusal> refusals() const {
    std::vector<BackendRefusal> found;
    for (const Datagram& datagram : sender_.sent) {
      if (const auto* refusal = std::get_if<BackendRefusal>(&datagram)) {
        found.push_back(*refusal);
      }
    }
    return found;
  }

  const BackendModel& model() const { return *model_; }

 private:
  void forward(const Datagram& datagram, ForwardMode mode) {
    const Forward forward{kCaller, BackendId(1), ServiceId(1), mode, encodeDatagram(datagram)};
    model_->onDatagram(encodeDatagram(forward), kBalancer);
  }

  EventQueue queue_;
  ProcessTimeSource time_;
  RecordingSender sender_;
  BackendModelSettings settings_;
  FlowKey key_{{1, 2}, 0};
  TokenBytes token_;
  std::unique_ptr<BackendModel> model_;
};

TEST_CASE("duplicate of an attempt after ended_flow_ttl is refused without not_run") {
  BackendFixture fixture;
  fixture.sendUpload(ForwardMode::MayStart);
  fixture.runFor(seconds(1));
  fixture.acknowledgeAnswer();
  REQUIRE(fixture.model().runs().size() == 1);
  fixture.runFor(seconds(90));
  fixture.sendUpload(ForwardMode::ContinueOnly);
  CHECK(fixture.model().runs().size() == 1);
  REQUIRE(fixture.refusals().size() == 1);
  CHECK_FALSE(fixture.refusals().front().not_run);
}

TEST_CASE("attempt that first arrives after the placement lifetime is refused as not run") {
  BackendFixture fixture;
  fixture.runFor(seconds(10));
  fixture.sendUpload(ForwardMode::ContinueOnly);
  CHECK(fixture.model().runs().empty());
  REQUIRE(fixture.refusals().size() == 1);
  CHECK(fixture.refusals().front().not_run);
}

}  // namespace
}  // namespace lugfork
