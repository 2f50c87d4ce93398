#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/result.h"
#include "config/configuration.h"

/** The configuration as a JSON document: the form that the platform serves and operators write. */
namespace lugfork {

/** One reason why a document is not valid. */
struct DocumentProblem {
  /** JSON pointer to the offending value; empty for the whole document. */
  std::string path;
  std::string message;
};

using DocumentProblems = std::vector<DocumentProblem>;

/**
 * JSON Schema (draft 7) that every document must match before the rules between resources. The
 * build embeds schema/configuration.schema.json.
 */
extern const char* const kConfigurationSchema;

/**
 * Reads and validates a document.
 * @return the configuration, or every problem found (never an empty list).
 */
Result<Configuration, DocumentProblems> parseConfigurationDocument(std::string_view json_text);

/** Whether token secrets are written or left out. */
enum class SecretHandling { Include, Omit };

/** @return the document in canonical form: resources ordered by id, keys sorted. */
std::string writeConfigurationDocument(const Configuration& configuration, SecretHandling secrets);

/** @return all problems in one line, for logs and error messages. */
std::string describeProblems(const DocumentProblems& problems);

}  // namespace lugfork
