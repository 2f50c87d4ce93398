#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/result.h"
#include "config/configuration.h"

/** The configuration as a JSON document, as written by operators and served by the platform. */
namespace lugfork {

/** One reason why a document is invalid. */
struct DocumentProblem {
  /** JSON pointer to the invalid value; empty for the whole document. */
  std::string path;
  std::string message;
};

using DocumentProblems = std::vector<DocumentProblem>;

/**
 * JSON Schema (draft 7) that documents are validated against before the rules between resources are
 * checked. The build embeds schema/configuration.schema.json.
 */
extern const char* const kConfigurationSchema;

/**
 * Parses and validates a document.
 * @return the configuration, or all problems found (never an empty list).
 */
Result<Configuration, DocumentProblems> parseConfigurationDocument(std::string_view json_text);

/** Whether token secrets are written or omitted. */
enum class SecretHandling { Include, Omit };

/** @return the document in canonical form: resources ordered by id, JSON keys sorted. */
std::string writeConfigurationDocument(const Configuration& configuration, SecretHandling secrets);

/** @return all problems on one line, for logs and error messages. */
std::string describeProblems(const DocumentProblems& problems);

}  // namespace lugfork
