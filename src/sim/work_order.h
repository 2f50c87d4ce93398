#pragma once

#include <cstdint>

#include "wire/codec_error.h"
#include "wire/datagram.h"

/** Work that test clients request from backend models; the payload of a request. */
namespace lugfork {

/** Kinds of work. */
enum class WorkKind : std::uint8_t {
  /** Long answer at a fixed rate; may be repeated and resumes where it stopped. */
  Stream = 0,
  /** Short request that occupies a slot for some time; may be repeated. */
  PreCheck = 1,
  /** Long request; must run at most once. */
  Upload = 2,
  Last = Upload,
};

/** First piece of every request. */
struct WorkOrder {
  WorkKind kind = WorkKind::PreCheck;
  /** Pieces of request payload after the order itself. */
  std::uint32_t request_pieces = 0;
  /** Total number of answer pieces. */
  std::uint32_t answer_pieces = 1;
  /** First requested answer piece; greater than 0 when a stream is resumed. */
  std::uint32_t first_answer_piece = 0;
  /** Time between two answer pieces [ms]. */
  std::uint32_t answer_interval_ms = 0;
  /** Time for which the work occupies a slot [ms]. */
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
 * @return the payload of one answer piece. It depends only on the service, the flow and the
 * position, so that a client can detect pieces of other flows.
 */
Bytes answerPayload(ServiceId service, const FlowId& flow, std::uint32_t sequence);

}  // namespace lugfork
