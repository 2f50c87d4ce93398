#pragma once

#include <deque>
#include <memory>
#include <string>

#include "config/configuration_delta.h"

namespace lugfork {

/** Result of offering a configuration to the store. */
enum class OfferOutcome {
  Adopted,
  /** The same version with the same content is in force. */
  AlreadyInForce,
  /** A newer version is in force. */
  Older,
  /** Same version, different content; the store kept the one in force. */
  ConflictKept,
  /** Same version, different content; the store adopted the offered one. */
  ConflictAdopted,
  Invalid,
  /** The delta starts from a configuration that is not in force. */
  BaseMissing,
};

/** Resources of a configuration, partitioned into buckets by a hash of their key. */
struct BucketIndex {
  std::vector<std::vector<ResourceKey>> keys;
  std::vector<std::uint64_t> digests;
};

/** @return the bucket of a resource, below the number of buckets. */
std::uint32_t bucketOf(ResourceKey key, std::uint32_t bucket_count);

/** @return all resources of a configuration by bucket. */
BucketIndex makeBucketIndex(const ConfigurationView& view, std::uint32_t bucket_count);

/**
 * Holds the configuration in force and a bounded history of the deltas that led to it. The version
 * in force never decreases. Of two configurations with the same version every node keeps the one
 * with the higher digest.
 */
class ConfigurationStore {
 public:
  /** Offers a JSON document from the platform. */
  OfferOutcome offer(const std::string& json_text);

  /** Offers a delta from a peer. */
  OfferOutcome offerDelta(const ConfigurationDelta& delta);

  /** Offers a full configuration assembled from a peer's buckets. */
  OfferOutcome offerResources(const ConfigurationId& id,
                              const std::vector<ResourceRecord>& resources);

  /** @return the configuration in force, or nullptr if there is none yet. */
  const ConfigurationViewPtr& inForce() const { return in_force_; }

  /** @return the canonical document in force with its secrets; empty if there is none yet. */
  std::string documentInForce() const;

  /** @return version and digest in force; unset if there is none yet. */
  const ConfigurationId& id() const { return id_; }

  /** @return the version in force; 0 if there is none yet. */
  ConfigVersion version() const { return id_.version; }

  /** @return problems of the last invalid offer; empty if a configuration was adopted since. */
  const DocumentProblems& lastProblems() const { return last_problems_; }

  /** @return a delta from that configuration, or the full one, if it fits into one message. */
  std::optional<ConfigurationDelta> deltaFrom(const ConfigurationId& have) const;

  /** @return the resources in force by bucket; cached until the next adoption. */
  const BucketIndex& bucketIndex();

  /** @return number of buckets for the size of the configuration in force. */
  std::uint32_t bucketCount() const;

 private:
  /** Compares an offer with the configuration in force; Adopted means that it is to be adopted. */
  OfferOutcome evaluateOffer(const ConfigurationId& offered) const;
  OfferOutcome adopt(OfferOutcome outcome, const ConfigurationId& id, ConfigurationViewPtr view,
                     std::shared_ptr<const ConfigurationDelta> delta);
  OfferOutcome reject(DocumentProblems problems);
  void appendToHistory(std::shared_ptr<const ConfigurationDelta> delta);

  ConfigurationViewPtr in_force_;
  ConfigurationId id_;
  DocumentProblems last_problems_;
  std::uint64_t last_text_digest_ = 0;
  /** Configuration in the last text offered; unset if it was invalid. */
  ConfigurationId last_text_id_;
  std::deque<std::shared_ptr<const ConfigurationDelta>> history_;
  std::unique_ptr<BucketIndex> bucket_index_;
};

/** @return the name of an outcome in logs. */
const char* toString(OfferOutcome outcome);

}  // namespace lugfork
