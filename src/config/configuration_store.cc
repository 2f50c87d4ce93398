#include "config/configuration_store.h"

#include <xxhash.h>

#include <algorithm>

namespace lugfork {

namespace {

/** Maximum number of versions that a peer may be behind and still get a merged delta. */
constexpr std::size_t kMaxHistoryLength = 64;
/** Maximum size of a delta in one message, below the size limit of a peer message. */
constexpr std::size_t kMaxDeltaBytes = 48UL * 1024;
constexpr std::size_t kResourcesPerBucket = 64;
constexpr std::uint32_t kMinBuckets = 16;

std::size_t resourceCount(const Configuration& configuration) {
  return 1 + configuration.zones.size() + configuration.services.size() +
         configuration.backends.size() + configuration.keys.size();
}

}  // namespace

std::uint32_t bucketOf(ResourceKey key, std::uint32_t bucket_count) {
  const std::uint64_t value = (static_cast<std::uint64_t>(key.kind) << 32) | key.id;
  return static_cast<std::uint32_t>(XXH64(&value, sizeof(value), 0) % bucket_count);
}

BucketIndex makeBucketIndex(const ConfigurationView& view, std::uint32_t bucket_count) {
  BucketIndex index;
  index.keys.resize(bucket_count);
  index.digests.resize(bucket_count);
  for (const ResourceKey key : resourceKeys(view.document())) {
    const std::uint32_t bucket = bucketOf(key, bucket_count);
    index.keys[bucket].push_back(key);
    index.digests[bucket] += resourceDigest(*encodeResource(view, key));
  }
  return index;
}

OfferOutcome ConfigurationStore::offer(const std::string& json_text) {
  const std::uint64_t text_digest = XXH64(json_text.data(), json_text.size(), 0);
  if (text_digest == last_text_digest_) {
    return last_text_id_ == ConfigurationId() ? OfferOutcome::Invalid
                                              : evaluateOffer(last_text_id_);
  }
  last_text_digest_ = text_digest;
  last_text_id_ = ConfigurationId();
  auto parsed = parseConfigurationDocument(json_text);
  if (!parsed) {
    return reject(parsed.error());
  }
  sortResources(parsed.value());
  auto view = std::make_shared<const ConfigurationView>(std::move(parsed.value()));
  const ConfigurationId id{view->version(), configurationDigest(*view)};
  last_text_id_ = id;
  const OfferOutcome outcome = evaluateOffer(id);
  if (outcome != OfferOutcome::Adopted && outcome != OfferOutcome::ConflictAdopted) {
    return outcome;
  }
  auto delta =
      in_force_ == nullptr
          ? nullptr
          : std::make_shared<const ConfigurationDelta>(makeDelta(in_force_.get(), id_, *view, id));
  return adopt(outcome, id, std::move(view), std::move(delta));
}

OfferOutcome ConfigurationStore::offerDelta(const ConfigurationDelta& delta) {
  const OfferOutcome outcome = evaluateOffer(delta.to);
  if (outcome != OfferOutcome::Adopted && outcome != OfferOutcome::ConflictAdopted) {
    return outcome;
  }
  const bool from_empty = delta.from == ConfigurationId();
  if (!from_empty && delta.from != id_) {
    return OfferOutcome::BaseMissing;
  }
  auto applied = applyDelta(from_empty ? nullptr : in_force_.get(), delta.from.digest, delta);
  if (!applied) {
    return reject(applied.error());
  }
  auto view = std::make_shared<const ConfigurationView>(std::move(applied.value()));
  // A delta from an empty configuration replaces everything and can't be merged with earlier
  // deltas, so it is not added to the history.
  auto history_delta = from_empty ? nullptr : std::make_shared<const ConfigurationDelta>(delta);
  return adopt(outcome, delta.to, std::move(view), std::move(history_delta));
}

OfferOutcome ConfigurationStore::offerResources(const ConfigurationId& id,
                                                const std::vector<ResourceRecord>& resources) {
  // Sorted by key, so that each resource is appended to its list.
  ConfigurationDelta full{ConfigurationId(), id, resources, {}};
  std::sort(
      full.changed.begin(), full.changed.end(),
      [](const ResourceRecord& left, const ResourceRecord& right) { return left.key < right.key; });
  return offerDelta(full);
}

std::string ConfigurationStore::documentInForce() const {
  return in_force_ == nullptr
             ? std::string()
             : writeConfigurationDocument(in_force_->document(), SecretHandling::Include);
}

std::optional<ConfigurationDelta> ConfigurationStore::deltaFrom(const ConfigurationId& have) const {
  if (in_force_ == nullptr) {
    return std::nullopt;
  }
  for (std::size_t start = 0; start < history_.size(); ++start) {
    if (history_[start]->from != have) {
      continue;
    }
    ConfigurationDelta merged = *history_[start];
    for (std::size_t next = start + 1; next < history_.size(); ++next) {
      merged = mergeDeltas(merged, *history_[next]);
    }
    if (estimatedBytes(merged) <= kMaxDeltaBytes) {
      return merged;
    }
    break;
  }
  // Skip encoding if even the smallest resources would exceed the limit.
  constexpr std::size_t kMinRecordBytes = 16;
  if (resourceCount(in_force_->document()) * kMinRecordBytes > kMaxDeltaBytes) {
    return std::nullopt;
  }
  ConfigurationDelta full = makeDelta(nullptr, ConfigurationId(), *in_force_, id_);
  return estimatedBytes(full) <= kMaxDeltaBytes ? std::optional(std::move(full)) : std::nullopt;
}

const BucketIndex& ConfigurationStore::bucketIndex() {
  if (bucket_index_ == nullptr) {
    bucket_index_ = std::make_unique<BucketIndex>(
        in_force_ == nullptr ? BucketIndex() : makeBucketIndex(*in_force_, bucketCount()));
  }
  return *bucket_index_;
}

std::uint32_t ConfigurationStore::bucketCount() const {
  std::uint32_t count = kMinBuckets;
  const std::size_t resources = in_force_ == nullptr ? 0 : resourceCount(in_force_->document());
  while (count * kResourcesPerBucket < resources) {
    count *= 2;
  }
  return count;
}

OfferOutcome ConfigurationStore::evaluateOffer(const ConfigurationId& offered) const {
  if (offered.version > id_.version) {
    return OfferOutcome::Adopted;
  }
  if (offered.version < id_.version) {
    return OfferOutcome::Older;
  }
  if (offered.digest == id_.digest) {
    return OfferOutcome::AlreadyInForce;
  }
  return offered.digest > id_.digest ? OfferOutcome::ConflictAdopted : OfferOutcome::ConflictKept;
}

OfferOutcome ConfigurationStore::adopt(OfferOutcome outcome, const ConfigurationId& id,
                                       ConfigurationViewPtr view,
                                       std::shared_ptr<const ConfigurationDelta> delta) {
  in_force_ = std::move(view);
  id_ = id;
  last_problems_.clear();
  bucket_index_.reset();
  appendToHistory(std::move(delta));
  return outcome;
}

OfferOutcome ConfigurationStore::reject(DocumentProblems problems) {
  last_problems_ = std::move(problems);
  return OfferOutcome::Invalid;
}

void ConfigurationStore::appendToHistory(std::shared_ptr<const ConfigurationDelta> delta) {
  if (delta == nullptr || estimatedBytes(*delta) > kMaxDeltaBytes) {
    history_.clear();
    return;
  }
  history_.push_back(std::move(delta));
  if (history_.size() > kMaxHistoryLength) {
    history_.pop_front();
  }
}

const char* toString(OfferOutcome outcome) {
  switch (outcome) {
    case OfferOutcome::Adopted:
      return "adopted";
    case OfferOutcome::AlreadyInForce:
      return "already_in_force";
    case OfferOutcome::Older:
      return "older";
    case OfferOutcome::ConflictKept:
      return "conflict_kept";
    case OfferOutcome::ConflictAdopted:
      return "conflict_adopted";
    case OfferOutcome::Invalid:
      return "invalid";
    case OfferOutcome::BaseMissing:
      return "base_missing";
  }
  return "unknown";
}

}  // namespace lugfork
