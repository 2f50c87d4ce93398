#include "discovery/view_client.h"

#include <utility>

namespace lugfork {

ViewClient::ViewClient(ViewClientSettings settings, KnownPeer self, std::uint16_t port, Send send,
                       Scheduler& scheduler, const TimeSource& time_source, RandomGenerator& random)
    : settings_(settings),
      self_(self),
      port_(port),
      send_(std::move(send)),
      scheduler_(scheduler),
      time_source_(time_source),
      random_(random),
      started_at_(time_source.monotonicTime()) {}

void ViewClient::readView(Endpoint peer, Revision after, Duration patience, ViewCallback callback) {
  const std::uint64_t id = random_.next();
  PendingView pending;
  pending.peer = {peer.address, port_};
  pending.request.request = id;
  pending.request.from = self_.address;
  pending.request.link = self_.link;
  pending.request.after = after;
  pending.callback = std::move(callback);
  pending.silent_at = time_source_.monotonicTime() + patience;
  pending.patience = patience;
  if (after == 0) {
    pending.assembly = std::exchange(unfinished_, ViewAssembly());
  }
  resend(pending);
  views_.insert_or_assign(id, std::move(pending));
  checkLater(id);
}

void ViewClient::exchangePeers(Endpoint peer, PeersCallback callback) {
  const std::uint64_t id = random_.next();
  const Endpoint to{peer.address, port_};
  exchanges_.insert_or_assign(id, PendingExchange{to, std::move(callback)});
  send_(to, PeersRequest{id, self_});
  scheduler_.callAfter(settings_.exchange_patience, [this, id] {
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
    // What an earlier sender left unfinished is of no use with this one.
    pending->assembly = ViewAssembly();
  }
  if (!pending->assembly.onPart(part)) {
    return;
  }
  pending->has_progress = true;
  pending->has_parts = true;
  pending->silent_at = time_source_.monotonicTime() + pending->patience;
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
  const std::uint32_t place = last_part % kMaxPartsPerRequest;
  const bool is_last = last_part + 1 == pending.assembly.parts();
  if (place == kMaxPartsPerRequest / 2 - 1) {
    // Half of a window is there: the next one is asked for, so that the sender never waits.
    requestMissing(pending, window + 1);
  }
  if ((place == kMaxPartsPerRequest / 2 - 1 || is_last) && window > 0) {
    // What is still missing of the window before was lost on its way.
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
      pending->silent_at = now + queuedPatience(*pending);
    }
    pending->renew_at = now + settings_.queued_renewal;
    return;
  }
  if (refusal.status.serves_view && !refusal.alternatives.empty()) {
    referred_to_ = {refusal.alternatives.front().address, port_};
  }
  const SourceError cause =
      refusal.status.serves_view ? SourceError::Throttled : SourceError::Unavailable;
  fail(refusal.request, {cause, refusal.alternatives});
}

Duration ViewClient::queuedPatience(const PendingView& pending) const {
  const bool has_just_started = time_source_.monotonicTime() - started_at_ < settings_.fleet_start;
  const bool is_promised = has_just_started || pending.peer == referred_to_;
  return is_promised ? settings_.promised_patience : settings_.queued_patience;
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

void ViewClient::checkLater(std::uint64_t id) {
  scheduler_.callAfter(settings_.resend_after, [this, id] { check(id); });
}

void ViewClient::check(std::uint64_t id) {
  const auto found = views_.find(id);
  if (found == views_.end()) {
    return;
  }
  PendingView& pending = found->second;
  if (time_source_.monotonicTime() >= pending.silent_at) {
    const bool gave_a_sign = pending.is_queued || pending.has_parts;
    fail(id, {gave_a_sign ? SourceError::Unavailable : SourceError::NoAnswer, {}});
    return;
  }
  const bool waits = pending.is_queued && !pending.has_parts;
  const bool is_due = waits ? time_source_.monotonicTime() >= pending.renew_at
                            : !std::exchange(pending.has_progress, false);
  if (is_due) {
    pending.renew_at = time_source_.monotonicTime() + settings_.queued_renewal;
    resend(pending);
  }
  checkLater(id);
}

void ViewClient::resend(PendingView& pending) {
  ViewRequest request = pending.request;
  if (pending.assembly.hasBegun()) {
    pending.assembly.fillRequest(request);
  }
  send_(pending.peer, request);
}

void ViewClient::fail(std::uint64_t id, PeerRefusal refusal) {
  auto found = views_.extract(id);
  PendingView& pending = found.mapped();
  // Of a body that never fits its hash the next sender would be asked for no part at all.
  const bool may_go_on = pending.assembly.hasBegun() && !pending.assembly.hasAllParts();
  if (pending.request.after == 0 && may_go_on) {
    unfinished_ = std::move(pending.assembly);
  }
  pending.callback(std::move(refusal));
}

ViewClient::PendingView* ViewClient::findPending(std::uint64_t id, Endpoint from) {
  const auto found = views_.find(id);
  const bool is_expected = found != views_.end() && found->second.peer == from;
  return is_expected ? &found->second : nullptr;
}

}  // namespace lugfork
