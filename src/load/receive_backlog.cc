#include "load/receive_backlog.h"

#include <algorithm>

namespace lugfork {

void ReceiveBacklog::onBatch(const ReceiveBatch& batch, MonotonicTime now) {
  detectPause(now);
  updateQueueState(batch, now);
  if (has_queue_) {
    measureRate(batch, now);
  }
  last_batch_at_ = now;
}

void ReceiveBacklog::detectPause(MonotonicTime now) {
  // While datagrams are available the next batch follows immediately.
  if (has_queue_ && now - last_batch_at_ >= settings_.min_pause) {
    ++pauses_;
    // The rate measured across a pause is not representative.
    measured_datagrams_ = 0;
    measured_from_ = now;
  }
}

void ReceiveBacklog::updateQueueState(const ReceiveBatch& batch, MonotonicTime now) {
  if (batch.is_empty) {
    if (batch.is_certain) {
      last_empty_at_ = now;
    }
    if (behind_) {
      caught_up_at_ = now;
    }
    has_queue_ = false;
    behind_ = false;
    return;
  }
  if (!has_queue_) {
    has_queue_ = true;
    queue_since_ = now;
    measured_datagrams_ = 0;
    measured_from_ = now;
  }
  if (!behind_ && now - queue_since_ >= settings_.behind_delay) {
    behind_ = true;
    was_behind_ = true;
    ++times_behind_;
  }
}

void ReceiveBacklog::measureRate(const ReceiveBatch& batch, MonotonicTime now) {
  measured_datagrams_ += batch.datagrams;
  const Duration elapsed = now - measured_from_;
  if (elapsed < settings_.max_socket_delay) {
    return;
  }
  const std::size_t capacity = measured_datagrams_ *
                               static_cast<std::size_t>(settings_.max_socket_delay.count()) /
                               static_cast<std::size_t>(elapsed.count());
  socket_datagrams_ = std::clamp(capacity, settings_.min_datagrams, settings_.max_datagrams);
  measured_datagrams_ = 0;
  measured_from_ = now;
}

}  // namespace lugfork
