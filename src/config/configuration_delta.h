#pragma once

#include <optional>

#include "config/configuration_document.h"
#include "wire/peer_message.h"

/** Configurations taken apart by resource: encoding, digests, differences. */
namespace lugfork {

/** @return the resource in its encoded form, or nothing where the configuration has none. */
std::optional<ResourceRecord> encodeResource(const ConfigurationView& view, ResourceKey key);

/** @return the keys of all resources of a configuration. */
std::vector<ResourceKey> resourceKeys(const Configuration& configuration);

/** @return all resources in their encoded form. */
std::vector<ResourceRecord> encodeResources(const ConfigurationView& view);

/** @return hash of one resource; the digest of a configuration is the sum over its resources. */
std::uint64_t resourceDigest(const ResourceRecord& record);
std::uint64_t configurationDigest(const ConfigurationView& view);

/** @return what leads from one configuration to the other; from an empty one for nullptr. */
ConfigurationDelta makeDelta(const ConfigurationView* from, ConfigurationId from_id,
                             const ConfigurationView& to, ConfigurationId to_id);

/** @return both deltas as one; the second must begin where the first ends. */
ConfigurationDelta mergeDeltas(const ConfigurationDelta& first, const ConfigurationDelta& second);

/** @return encoded size of a delta in bytes, rounded up. */
std::size_t estimatedBytes(const ConfigurationDelta& delta);

/**
 * Applies a delta and checks the result against all rules and the delta's digest.
 * @param base configuration that the delta starts from; nullptr for an empty one.
 * @param base_digest digest of the base.
 */
Result<Configuration, DocumentProblems> applyDelta(const ConfigurationView* base,
                                                   std::uint64_t base_digest,
                                                   const ConfigurationDelta& delta);

/** Orders each kind of resource by id. */
void sortResources(Configuration& configuration);

/** @return the rules between resources that the configuration breaks. */
DocumentProblems checkConfiguration(const Configuration& configuration);

}  // namespace lugfork
