#pragma once

#include <deque>
#include <memory>
#include <string>

#include "config/configuration_delta.h"

namespace lugfork {

/** What became of a configuration that was offered to the store. */
enum class OfferOutcome {
  Adopted,
  /** The same version with the same content is in force. */
  AlreadyInForce,
  /** A newer version is in force. */
  Older,
  /** Same version, other content; the rule in the store kept the one in force. */
  ConflictKept,
  /** Same version, other content; the rule in the store took the one that was offered. */
  ConflictAdopted,
  Invalid,
  /** The delta starts from a configuration that is not in force here. */
  BaseMissing,
};

/** Resources of a configuration divided into buckets by a hash of their key. */
struct BucketIndex {
  std::vector<std::vector<ResourceKey>> keys;
  std::vector<std::uint64_t> digests;
};

/** @return bucket of a resource out of a number of buckets. */
std::uint32_t bucketOf(ResourceKey key, std::uint32_t bucket_count);

/** @return all resources of a configuration by bucket. */
BucketIndex makeBucketIndex(const ConfigurationView& view, std::uint32_t bucket_count);

/**
 * Holds the configuration in force and a bounded history of what led to it. The version in force
 * never goes down. Of two documents with the same version every node keeps the one with the
 * higher digest.
 */
class ConfigurationStore {
 public:
  /** Offers a JSON document from the platform. */
  OfferOutcome offer(const std::string& json_text);

  /** Offers a delta from a peer. */
  OfferOutcome offerDelta(const ConfigurationDelta& delta);

  /** Offers a whole configuration that was put together from a peer's buckets. */
  OfferOutcome offerResources(const ConfigurationId& id,
                              const std::vector<ResourceRecord>& resources);

  /** @return the configuration in force, or nullptr before the first one. */
  const ConfigurationViewPtr& inForce() const { return in_force_; }

  /** @return the canonical document in force with its secrets; empty before the first one. */
  std::string documentInForce() const;

  /** @return version and digest in force; unset before the first one. */
  const ConfigurationId& id() const { return id_; }

  /** @return the version in force; 0 before the first one. */
  ConfigVersion version() const { return id_.version; }

  /** @return what was wrong with the last invalid offer; empty if none was since. */
  const DocumentProblems& lastProblems() const { return last_problems_; }

  /** @return a delta from that configuration to the one in force if it fits in one message. */
  std::optional<ConfigurationDelta> deltaFrom(const ConfigurationId& have) const;

  /** @return the resources in force by bucket; kept until the next adoption. */
  const BucketIndex& bucketIndex();

  /** @return number of buckets that suits the configuration in force. */
  std::uint32_t bucketCount() const;

 private:
  /** Weighs an offer against what is in force; Adopted stands for "newer, to be taken". */
  OfferOutcome evaluateOffer(const ConfigurationId& offered) const;
  OfferOutcome adopt(OfferOutcome outcome, const ConfigurationId& id, ConfigurationViewPtr view,
                     std::shared_ptr<const ConfigurationDelta> delta);
  OfferOutcome reject(DocumentProblems problems);
  void appendToHistory(std::shared_ptr<const ConfigurationDelta> delta);

  ConfigurationViewPtr in_force_;
  ConfigurationId id_;
  DocumentProblems last_problems_;
  std::uint64_t last_text_digest_ = 0;
  /** Configuration in the last text offered; unset where it was invalid. */
  ConfigurationId last_text_id_;
  std::deque<std::shared_ptr<const ConfigurationDelta>> history_;
  std::unique_ptr<BucketIndex> bucket_index_;
};

/** Stable name of an outcome, for logs. */
const char* toString(OfferOutcome outcome);

}  // namespace lugfork
