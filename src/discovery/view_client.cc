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
      random_(random) {}

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
  send_(pending.peer, pending.request);
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
  if (pending == nullptr || !pending->assembly.onPart(part)) {
    return;
  }
  pending->has_progress = true;
  pending->silent_at = time_source_.monotonicTime() + pending->patience;
  if (pending->assembly.isComplete()) {
    finish(*pending);
    return;
  }
  requestNextWindow(*pending, part.part);
}

void ViewClient::requestNextWindow(const PendingView& pending, std::uint32_t last_part) {
  // A body of many parts is asked for in windows, each once the one before it is there.
  ViewRequest next = pending.request;
  pending.assembly.fillRequest(next);
  const bool window_ends =
      next.first_part % kPartsInRequest == 0 && next.parts != 0 && next.first_part == last_part + 1;
  if (window_ends) {
    send_(pending.peer, next);
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
  if (content.is_whole && on_whole_view_) {
    on_whole_view_(std::move(bytes), status, content.at);
  }
  callback(PeerView{status, std::move(content.changes), content.at, content.is_whole,
                    std::move(content.peers)});
}

void ViewClient::onRefusal(const ViewRefusal& refusal, Endpoint from) {
  PendingView* pending = findPending(refusal.request, from);
  if (pending == nullptr || pending->assembly.hasBegun()) {
    return;
  }
  if (refusal.is_queued) {
    if (!std::exchange(pending->is_queued, true)) {
      pending->silent_at = time_source_.monotonicTime() + settings_.queued_patience;
    }
    return;
  }
  const SourceError cause =
      refusal.status.serves_view ? SourceError::Throttled : SourceError::Unavailable;
  fail(refusal.request, {cause, refusal.others});
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
    const bool gave_a_sign = pending.is_queued || pending.assembly.hasBegun();
    fail(id, {gave_a_sign ? SourceError::Unavailable : SourceError::NoAnswer, {}});
    return;
  }
  const bool waits = pending.is_queued && !pending.assembly.hasBegun();
  if (!waits && !std::exchange(pending.has_progress, false)) {
    ViewRequest again = pending.request;
    if (pending.assembly.hasBegun()) {
      pending.assembly.fillRequest(again);
    }
    send_(pending.peer, again);
  }
  checkLater(id);
}

void ViewClient::fail(std::uint64_t id, PeerRefusal refusal) {
  const auto found = views_.extract(id);
  found.mapped().callback(std::move(refusal));
}

ViewClient::PendingView* ViewClient::findPending(std::uint64_t id, Endpoint from) {
  const auto found = views_.find(id);
  const bool is_expected = found != views_.end() && found->second.peer == from;
  return is_expected ? &found->second : nullptr;
}

}  // namespace lugfork
