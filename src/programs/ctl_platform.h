#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/result.h"
#include "common/time_source.h"
#include "config/configuration_document.h"

/** What lugforkctl does at the platform's configuration service. */
namespace lugfork {

/** Words on why the platform did not do what was asked. */
struct PlatformError {
  std::string message;
};

/** What became of a publication. */
enum class PublishOutcome { Published, Conflict };

/** @return the document that the platform holds. */
Result<Configuration, PlatformError> readPlatformConfiguration(Endpoint platform);

/** Publishes a document if the platform still holds the version before it. */
Result<PublishOutcome, PlatformError> publishConfiguration(Endpoint platform,
                                                           const Configuration& configuration);

/** @return the API addresses of all balancers on the platform's list. */
Result<std::vector<Endpoint>, PlatformError> readNodeAddresses(Endpoint platform);

/** Whom to wait for, and how long. */
struct WaitSettings {
  std::vector<Endpoint> nodes;
  Duration timeout = seconds(30);
  std::string token;
};

/** Prints each node as it gets there, and at the end who is behind. @return true if none is. */
bool waitUntilInForce(const WaitSettings& settings, ConfigVersion version);

}  // namespace lugfork
