#include "discovery/view_client.h"

#include <utility>

namespace lugfork {

ViewClient::ViewClient(ViewClientSettings settings, PeerInfo self, std::uint16_t port, Send send,
                       Scheduler& scheduler, const TimeSource& time_source, RandomGenerator& random)
    : settings_(settings),
      self_(self),
      port_(port),
      send_(std::move(send)),
      scheduler_(scheduler),
      time_source_(time_source),
      random_(random),
      started_at_(time_source.monotonicTime()) {}

void ViewClient::readView(Endpoint peer, Revision after, Duration timeout, ViewCallback callback) {
  const std::uint64_t id = random_.next();
  PendingView pending;
  pending.peer = {peer.address, port_};
  pending.request.request = id;
  pending.request.from = self_.address;
  pending.request.link = self_.link;
  pending.request.after = after;
  pending.callback = std::move(callback);
  pending.deadline = time_source_.monotonicTime() + timeout;
  pending.timeout = timeout;
  if (after == 0) {
    pending.assembly = std::exchange(partial_assembly_, ViewAssembly());
  }
  resend(pending);
  views_.insert_or_assign(id, std::move(pending));
  scheduleCheck(id);
}

void ViewClient::exchangePeers(Endpoint peer, PeersCallback callback) {
  const std::uint64_t id = random_.next();
  const Endpoint to{peer.address, port_};
  exchanges_.insert_or_assign(id, PendingExchange{to, std::move(callback)});
  send_(to, PeersRequest{id, self_});
  scheduler_.callAfter(settings_.exchange_timeout, [this, id] {
    if (const auto found = exchanges_.extract(id)) {
      found.mapped().callback(SourceError::NoAnswer);
    }
  });
}

void ViewClient::onPart(const ViewPart& part, Endpoint from) {
  PendingView* pending = findPending(part.request, from);
  if (pending == nullptr) {
    return;
  }
  const bool is_other_body = part.body_hash != pending->assembly.bodyHash();
  if (!pending->has_parts && is_other_body) {
    // The parts from an earlier sender belong to another body.
    pending->assembly = ViewAssembly();
  }
  if (!pending->assembly.onPart(part)) {
    return;
  }
  pending->has_progress = true;
  pending->has_parts = true;
  pending->deadline = time_source_.monotonicTime() + pending->timeout;
  if (pending->assembly.isComplete()) {
    finish(*pending);
    return;
  }
  if (pending->assembly.hasAllParts()) {
    ++malformed_bodies_;
    fail(part.request, {SourceError::Malformed, {}});
    return;
  }
  requestMore(*pending, part.part);
}

void ViewClient::requestMore(const PendingView& pending, std::uint32_t last_part) {
  const std::uint32_t window = last_part / kMaxPartsPerRequest;
  const std::uint32_t offset = last_part % kMaxPartsPerRequest;
  const bool is_last = last_part + 1 == pending.assembly.parts();
  if (offset == kMaxPartsPerRequest / 2 - 1) {
    // Half of the window has arrived: request the next one so that the sender does not idle.
    requestMissing(pending, window + 1);
  }
  if ((offset == kMaxPartsPerRequest / 2 - 1 || is_last) && window > 0) {
    // Parts of the previous window that are still missing were lost.
    requestMissing(pending, window - 1);
  }
  if (is_last) {
    requestMissing(pending, window);
  }
}

void ViewClient::requestMissing(const PendingView& pending, std::uint32_t window) {
  ViewRequest request = pending.request;
  pending.assembly.fillRequest(request, window * kMaxPartsPerRequest);
  if (request.parts != 0) {
    send_(pending.peer, request);
  }
}

void ViewClient::finish(PendingView& pending) {
  const ViewStatus status = pending.assembly.status();
  Bytes bytes = pending.assembly.takeBody();
  auto body = decodeViewBody(bytes);
  const ViewCallback callback = std::move(pending.callback);
  views_.erase(pending.request.request);
  if (!body) {
    ++malformed_bodies_;
    callback(PeerRefusal{SourceError::Malformed, {}});
    return;
  }
  ViewBody& content = body.value();
  if (content.is_full_view && on_whole_view_) {
    on_whole_view_(std::move(bytes), status);
  }
  callback(PeerView{status, std::move(content.changes), content.at, content.is_full_view,
                    std::move(content.peers)});
}

void ViewClient::onRefusal(const ViewRefusal& refusal, Endpoint from) {
  PendingView* pending = findPending(refusal.request, from);
  if (pending == nullptr || pending->has_parts) {
    return;
  }
  if (refusal.is_queued) {
    const MonotonicTime now = time_source_.monotonicTime();
    const bool is_first = !std::exchange(pending->is_queued, true);
    if (is_first || refusal.status.serves_view) {
      pending->deadline = now + queuedTimeout(*pending);
    }
    pending->renew_at = now + settings_.queue_renewal_interval;
    return;
  }
  if (refusal.status.serves_view && !refusal.alternatives.empty()) {
    last_referral_ = {refusal.alternatives.front().address, port_};
  }
  const SourceError cause =
      refusal.status.serves_view ? SourceError::Throttled : SourceError::Unavailable;
  fail(refusal.request, {cause, refusal.alternatives});
}

Duration ViewClient::queuedTimeout(const PendingView& pending) const {
  const bool is_fleet_starting =
      time_source_.monotonicTime() - started_at_ < settings_.fleet_start_window;
  const bool is_view_expected = is_fleet_starting || pending.peer == last_referral_;
  return is_view_expected ? settings_.expected_view_timeout : settings_.queued_timeout;
}

void ViewClient::onPeersReply(const PeersReply& reply, Endpoint from) {
  const auto found = exchanges_.find(reply.request);
  if (found == exchanges_.end() || found->second.peer != from) {
    return;
  }
  const PeersCallback callback = std::move(found->second.callback);
  exchanges_.erase(found);
  callback(reply.peers);
}

void ViewClient::scheduleCheck(std::uint64_t id) {
  scheduler_.callAfter(settings_.resend_interval, [this, id] { check(id); });
}

void ViewClient::check(std::uint64_t id) {
  const auto found = views_.find(id);
  if (found == views_.end()) {
    return;
  }
  PendingView& pending = found->second;
  if (time_source_.monotonicTime() >= pending.deadline) {
    const bool has_responded = pending.is_queued || pending.has_parts;
    fail(id, {has_responded ? SourceError::Unavailable : SourceError::NoAnswer, {}});
    return;
  }
  const bool is_waiting = pending.is_queued && !pending.has_parts;
  const bool is_due = is_waiting ? time_source_.monotonicTime() >= pending.renew_at
                                 : !std::exchange(pending.has_progress, false);
  if (is_due) {
    pending.renew_at = time_source_.monotonicTime() + settings_.queue_renewal_interval;
    resend(pending);
  }
  scheduleCheck(id);
}

void ViewClient::resend(PendingView& pending) {
  ViewRequest request = pending.request;
  if (pending.assembly.hasParts()) {
    pending.assembly.fillRequest(request);
  }
  send_(pending.peer, request);
}

void ViewClient::fail(std::uint64_t id, PeerRefusal refusal) {
  auto found = views_.extract(id);
  PendingView& pending = found.mapped();
  // With all parts present but a wrong hash, the next sender would be asked for no part at all.
  const bool can_resume = pending.assembly.hasParts() && !pending.assembly.hasAllParts();
  if (pending.request.after == 0 && can_resume) {
    partial_assembly_ = std::move(pending.assembly);
  }
  pending.callback(std::move(refusal));
}

ViewClient::PendingView* ViewClient::findPending(std::uint64_t id, Endpoint from) {
  const auto found = views_.find(id);
  const bool is_expected = found != views_.end() && found->second.peer == from;
  return is_expected ? &found->second : nullptr;
}

}  // namespace lugfork
