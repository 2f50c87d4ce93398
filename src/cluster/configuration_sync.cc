#include "cluster/configuration_sync.h"

#include <algorithm>

namespace lugfork {

ConfigurationSync::ConfigurationSync(ConfigurationSyncSettings settings, ConfigurationStore& store,
                                     const TimeSource& time_source, RandomGenerator& random,
                                     ConfigurationSyncHost& host, EventLog& log)
    : settings_(settings),
      store_(store),
      time_source_(time_source),
      random_(random),
      host_(host),
      log_(log) {}

void ConfigurationSync::onPeerConfiguration(Endpoint peer, const ConfigurationId& remote) {
  if (remote > store_.id()) {
    request(peer);
  } else if (remote.version == store_.version() && remote != store_.id()) {
    recordOutcome(OfferOutcome::ConflictKept, "peer", remote);
  }
}

bool ConfigurationSync::onNewerVersionSeen(ConfigVersion version) {
  const MonotonicTime now = time_source_.monotonicTime();
  return version > store_.version() && now >= next_request_ && !fetch_;
}

void ConfigurationSync::request(Endpoint peer) {
  const MonotonicTime now = time_source_.monotonicTime();
  if (now < next_request_ || fetch_) {
    return;
  }
  next_request_ = now + settings_.request_timeout;
  host_.sendConfigurationMessage(peer, ConfigurationRequest{store_.id()});
}

void ConfigurationSync::onRequest(Endpoint from, const ConfigurationRequest& request) {
  if (request.current >= store_.id()) {
    return;
  }
  if (auto delta = store_.deltaFrom(request.current)) {
    host_.sendConfigurationMessage(from, std::move(*delta));
    return;
  }
  host_.sendConfigurationMessage(from,
                                 ConfigurationSummary{store_.id(), store_.bucketIndex().digests});
}

void ConfigurationSync::onDelta(Endpoint, const ConfigurationDelta& delta) {
  next_request_ = MonotonicTime();
  recordOutcome(store_.offerDelta(delta), "peer", delta.to);
}

void ConfigurationSync::onSummary(Endpoint from, const ConfigurationSummary& summary) {
  const std::size_t count = summary.bucket_digests.size();
  if (summary.configuration <= store_.id() || fetch_ || count == 0) {
    return;
  }
  const auto bucket_count = static_cast<std::uint32_t>(count);
  Fetch fetch{from, summary.configuration, bucket_count, {}, {}, {}, time_source_.monotonicTime()};
  const BucketIndex local_index = store_.inForce() == nullptr
                                      ? BucketIndex{{}, std::vector<std::uint64_t>(count)}
                                      : makeBucketIndex(*store_.inForce(), bucket_count);
  for (std::uint32_t bucket = 0; bucket < bucket_count; ++bucket) {
    if (local_index.digests[bucket] != summary.bucket_digests[bucket]) {
      fetch.wanted.insert(bucket);
    }
  }
  fetch.missing = fetch.wanted;
  fetch_ = std::move(fetch);
  requestBuckets();
}

void ConfigurationSync::onBucketRequest(Endpoint from, const BucketRequest& request) {
  const BucketIndex& index = store_.bucketIndex();
  if (request.configuration != store_.id() || request.bucket_count != index.keys.size()) {
    return;
  }
  BucketReply reply{request.configuration, {}, {}};
  for (const std::uint32_t bucket : request.buckets) {
    if (bucket >= index.keys.size() || reply.buckets.size() >= settings_.buckets_per_request) {
      break;
    }
    reply.buckets.push_back(bucket);
    for (const ResourceKey key : index.keys[bucket]) {
      reply.resources.push_back(*encodeResource(*store_.inForce(), key));
    }
  }
  host_.sendConfigurationMessage(from, reply);
}

void ConfigurationSync::onBucketReply(Endpoint from, const BucketReply& reply) {
  if (!fetch_ || fetch_->peer != from || fetch_->target != reply.configuration) {
    return;
  }
  fetch_->last_progress = time_source_.monotonicTime();
  std::set<std::uint32_t> arrived;
  for (const std::uint32_t bucket : reply.buckets) {
    if (fetch_->missing.erase(bucket) != 0) {
      arrived.insert(bucket);
    }
  }
  for (const ResourceRecord& record : reply.resources) {
    if (arrived.contains(bucketOf(record.key, fetch_->bucket_count))) {
      fetch_->received.push_back(record);
    }
  }
  requestBuckets();
}

void ConfigurationSync::onPlatformDocument(const std::string& json_text) {
  const OfferOutcome outcome = store_.offer(json_text);
  platform_is_current_ = outcome != OfferOutcome::Older && outcome != OfferOutcome::Invalid;
  recordOutcome(outcome, "platform", store_.id());
}

void ConfigurationSync::onTick(std::size_t fleet_size) {
  const MonotonicTime now = time_source_.monotonicTime();
  if (fetch_ && now - fetch_->last_progress >= settings_.fetch_timeout) {
    log_.write(LogLevel::Warn, "configuration", "configuration_fetch_timeout",
               {{"peer", toString(fetch_->peer)}});
    fetch_.reset();
  }
  // A node that has lost its peers returns to the read rate of a small fleet.
  const Duration interval = platformReadInterval(fleet_size);
  next_platform_read_ = std::min(next_platform_read_, now + 2 * interval);
  if (now >= next_platform_read_) {
    // Uniform in [0, 2 * interval), so that nodes started simultaneously read at different times.
    next_platform_read_ =
        now + Duration(random_.below(static_cast<std::uint64_t>(2 * interval.count())));
    host_.readConfigurationFromPlatform();
  }
}

void ConfigurationSync::recordOutcome(OfferOutcome outcome, const char* source,
                                      const ConfigurationId& offered) {
  const bool conflict =
      outcome == OfferOutcome::ConflictAdopted || outcome == OfferOutcome::ConflictKept;
  // The platform returns the same document at each read; each conflict is reported only once.
  const bool already_recorded =
      outcome == OfferOutcome::ConflictKept && offered.version == last_conflict_version_;
  if (conflict && !already_recorded) {
    ++conflicts_;
    last_conflict_version_ = offered.version;
    log_.write(
        LogLevel::Error, "configuration", "configuration_conflict",
        {{"source", source}, {"version", offered.version.value()}, {"outcome", toString(outcome)}});
  }
  if (outcome == OfferOutcome::Invalid) {
    log_.write(LogLevel::Error, "configuration", "configuration_invalid",
               {{"source", source}, {"problems", describeProblems(store_.lastProblems())}});
  }
  if (outcome == OfferOutcome::Adopted || outcome == OfferOutcome::ConflictAdopted) {
    log_.write(LogLevel::Info, "configuration", "configuration_adopted",
               {{"version", store_.version().value()},
                {"source", source},
                {"outcome", toString(outcome)}});
    host_.onConfigurationAdopted();
  }
}

void ConfigurationSync::requestBuckets() {
  if (fetch_->missing.empty()) {
    finishFetch();
    return;
  }
  BucketRequest request{fetch_->target, fetch_->bucket_count, {}};
  for (const std::uint32_t bucket : fetch_->missing) {
    if (request.buckets.size() == settings_.buckets_per_request) {
      break;
    }
    request.buckets.push_back(bucket);
  }
  host_.sendConfigurationMessage(fetch_->peer, request);
}

void ConfigurationSync::finishFetch() {
  const Fetch fetch = std::move(*fetch_);
  fetch_.reset();
  next_request_ = MonotonicTime();
  std::vector<ResourceRecord> resources = fetch.received;
  if (store_.inForce() != nullptr) {
    for (const ResourceKey key : resourceKeys(store_.inForce()->document())) {
      if (!fetch.wanted.contains(bucketOf(key, fetch.bucket_count))) {
        resources.push_back(*encodeResource(*store_.inForce(), key));
      }
    }
  }
  recordOutcome(store_.offerResources(fetch.target, resources), "peer", fetch.target);
}

Duration ConfigurationSync::platformReadInterval(std::size_t fleet_size) const {
  const double interval_seconds =
      static_cast<double>(fleet_size) / settings_.max_fleet_reads_per_second;
  const Duration fleet_interval(static_cast<std::int64_t>(interval_seconds * 1e6));
  return std::max(settings_.min_platform_interval, fleet_interval);
}

}  // namespace lugfork
