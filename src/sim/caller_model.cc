#include "sim/caller_model.h"

namespace lugfork {

namespace {

constexpr std::size_t kRequestPieceBytes = 1000;

std::vector<Bytes> makePieces(WorkOrder order, std::uint32_t first_answer_piece) {
  order.first_answer_piece = first_answer_piece;
  std::vector<Bytes> pieces = {encodeWorkOrder(order)};
  pieces.resize(1 + order.request_pieces, Bytes(kRequestPieceBytes, 0));
  return pieces;
}

CallRequest makeRequest(Endpoint service, const WorkOrder& order, Duration deadline) {
  CallRequest request;
  request.service = service;
  request.may_repeat = order.mayRepeat();
  request.deadline = deadline;
  request.make_pieces = [order](std::uint32_t first) { return makePieces(order, first); };
  return request;
}

FlowId randomFlow(RandomGenerator& random) {
  const std::uint64_t high = random.next();
  return FlowId{high, random.next()};
}

}  // namespace

CallerModel::CallerModel(CallerSettings settings, Endpoint service, ServiceId service_id,
                         WorkOrder order, Duration deadline, const TimeSource& time_source,
                         RandomGenerator& random, Send send)
    : service_id_(service_id),
      send_(std::move(send)),
      observation_{randomFlow(random), order.kind, 0, 0, {}},
      flow_(settings, makeRequest(service, order, deadline), observation_.flow, time_source, random,
            *this) {}

void CallerModel::onAnswerPiece(const Answer& piece) {
  ++observation_.pieces;
  observation_.backends.insert(piece.backend);
  const bool is_expected =
      piece.service == service_id_ &&
      piece.payload == answerPayload(service_id_, observation_.flow, piece.sequence);
  observation_.wrong_pieces += is_expected ? 0 : 1;
}

std::optional<FlowId> flowOfReply(const Datagram& datagram) {
  if (const auto* placed = std::get_if<Placed>(&datagram)) {
    return placed->key.flow;
  }
  if (const auto* ack = std::get_if<DataAck>(&datagram)) {
    return ack->key.flow;
  }
  if (const auto* answer = std::get_if<Answer>(&datagram)) {
    return answer->key.flow;
  }
  if (const auto* refused = std::get_if<Refused>(&datagram)) {
    return refused->key.flow;
  }
  if (const auto* reset = std::get_if<Reset>(&datagram)) {
    return reset->key.flow;
  }
  return std::nullopt;
}

const char* toString(CallResult result) {
  switch (result) {
    case CallResult::Complete:
      return "whole";
    case CallResult::NotRun:
      return "not_run";
    case CallResult::Unknown:
      return "unknown";
    case CallResult::DeadlineExceeded:
      return "deadline_exceeded";
  }
  return "unknown";
}

}  // namespace lugfork
