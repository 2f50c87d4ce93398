#pragma once

#include <cstdint>

#include "wire/codec_error.h"
#include "wire/datagram.h"

/** What the stand-in callers ask of the stand-in back ends; travels as the request's payload. */
namespace lugfork {

/** Kinds of work of the two users. */
enum class WorkKind : std::uint8_t {
  /** Long answer at a fixed pace; may be repeated, resumes where it stopped. */
  Stream = 0,
  /** Short request that takes a slot for a while; may be repeated. */
  PreCheck = 1,
  /** Long request; may run at most once. */
  Upload = 2,
  Last = Upload,
};

/** First piece of every request. */
struct WorkOrder {
  WorkKind kind = WorkKind::PreCheck;
  /** Pieces of request payload that follow the order itself. */
  std::uint32_t request_pieces = 0;
  /** Answer pieces in all. */
  std::uint32_t answer_pieces = 1;
  /** First answer piece wanted; later than 0 when a stream is resumed. */
  std::uint32_t first_answer_piece = 0;
  /** Time between two answer pieces, in milliseconds. */
  std::uint32_t answer_interval_ms = 0;
  /** Time for which the work holds a slot, in milliseconds. */
  std::uint32_t work_ms = 0;

  auto fields() {
    return std::tie(kind, request_pieces, answer_pieces, first_answer_piece, answer_interval_ms,
                    work_ms);
  }
  bool mayRepeat() const { return kind != WorkKind::Upload; }
};

Bytes encodeWorkOrder(const WorkOrder& order);
Result<WorkOrder, CodecError> decodeWorkOrder(const Bytes& bytes);

/**
 * Payload of one answer piece. Follows from the service, the flow and the position alone, so that a
 * caller can tell whether a piece is its own.
 */
Bytes answerPayload(ServiceId service, const FlowId& flow, std::uint32_t sequence);

}  // namespace lugfork
