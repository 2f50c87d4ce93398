#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/result.h"
#include "common/time_source.h"
#include "config/configuration_document.h"

/** Access of lugforkctl to the platform's configuration service. */
namespace lugfork {

/** Failure of a request to the platform, as text for the operator. */
struct PlatformError {
  std::string message;
};

/** Outcome of a publication. */
enum class PublishOutcome { Published, Conflict };

/** @return the configuration currently held by the platform. */
Result<Configuration, PlatformError> readPlatformConfiguration(Endpoint platform);

/** Publishes a configuration if the platform still holds the preceding version. */
Result<PublishOutcome, PlatformError> publishConfiguration(Endpoint platform,
                                                           const Configuration& configuration);

/** @return the API addresses of all balancers on the platform's machine list. */
Result<std::vector<Endpoint>, PlatformError> readNodeAddresses(Endpoint platform);

/** Nodes to wait for, and the timeout. */
struct WaitSettings {
  std::vector<Endpoint> nodes;
  Duration timeout = seconds(30);
  std::string token;
};

/**
 * Waits until a version is in force on all nodes. Prints each node that reaches the version, and
 * those still behind at the timeout.
 * @return true if no node is behind.
 */
bool waitUntilInForce(const WaitSettings& settings, ConfigVersion version);

}  // namespace lugfork
