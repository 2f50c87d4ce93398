#pragma once

#include <optional>

#include "config/configuration_document.h"
#include "wire/peer_message.h"

/** Encoding, digests and deltas of configurations by resource. */
namespace lugfork {

/** @return the encoded resource, or nullopt if the configuration doesn't contain it. */
std::optional<ResourceRecord> encodeResource(const ConfigurationView& view, ResourceKey key);

/** @return the keys of all resources in a configuration. */
std::vector<ResourceKey> resourceKeys(const Configuration& configuration);

/** @return all resources in encoded form. */
std::vector<ResourceRecord> encodeResources(const ConfigurationView& view);

/** @return hash of one resource; the digest of a configuration is the sum over its resources. */
std::uint64_t resourceDigest(const ResourceRecord& record);
std::uint64_t configurationDigest(const ConfigurationView& view);

/** @return the delta between two configurations; nullptr stands for an empty one. */
ConfigurationDelta makeDelta(const ConfigurationView* from, ConfigurationId from_id,
                             const ConfigurationView& to, ConfigurationId to_id);

/** @return one delta equal to both; the second must start from the result of the first. */
ConfigurationDelta mergeDeltas(const ConfigurationDelta& first, const ConfigurationDelta& second);

/** @return encoded size of a delta in bytes, rounded up. */
std::size_t estimatedBytes(const ConfigurationDelta& delta);

/**
 * Applies a delta and validates the result against all rules and the delta's digest.
 * @param base configuration that the delta starts from; nullptr for an empty one.
 * @param base_digest digest of the base.
 */
Result<Configuration, DocumentProblems> applyDelta(const ConfigurationView* base,
                                                   std::uint64_t base_digest,
                                                   const ConfigurationDelta& delta);

/** Sorts each kind of resource by id. */
void sortResources(Configuration& configuration);

/** @return violations of the rules between resources. */
DocumentProblems checkConfiguration(const Configuration& configuration);

}  // namespace lugfork
