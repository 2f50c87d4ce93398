#include "load/receive_backlog.h"

#include <algorithm>

namespace lugfork {

void ReceiveBacklog::onTurn(const ReceiveTurn& turn, MonotonicTime now) {
  noteStop(now);
  noteQueue(turn, now);
  if (standing_) {
    measureRate(turn, now);
  }
  turn_at_ = now;
}

void ReceiveBacklog::noteStop(MonotonicTime now) {
  // With datagrams at hand the next turn follows at once.
  if (standing_ && now - turn_at_ >= settings_.stopped_after) {
    ++stops_;
    // The rate of a process that did not run shows nothing.
    measured_ = 0;
    measured_from_ = now;
  }
}

void ReceiveBacklog::noteQueue(const ReceiveTurn& turn, MonotonicTime now) {
  if (turn.is_empty) {
    if (turn.is_certain) {
      empty_at_ = now;
    }
    if (behind_) {
      caught_up_at_ = now;
    }
    standing_ = false;
    behind_ = false;
    return;
  }
  if (!standing_) {
    standing_ = true;
    standing_since_ = now;
    measured_ = 0;
    measured_from_ = now;
  }
  if (!behind_ && now - standing_since_ >= settings_.behind_after) {
    behind_ = true;
    was_behind_ = true;
    ++times_behind_;
  }
}

void ReceiveBacklog::measureRate(const ReceiveTurn& turn, MonotonicTime now) {
  measured_ += turn.datagrams;
  const Duration elapsed = now - measured_from_;
  if (elapsed < settings_.socket_holds) {
    return;
  }
  const std::size_t held = measured_ * static_cast<std::size_t>(settings_.socket_holds.count()) /
                           static_cast<std::size_t>(elapsed.count());
  socket_datagrams_ = std::clamp(held, settings_.fewest_datagrams, settings_.most_datagrams);
  measured_ = 0;
  measured_from_ = now;
}

}  // namespace lugfork
