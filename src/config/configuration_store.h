#pragma once

#include <string>

#include "config/configuration_document.h"

namespace lugfork {

/** What became of a document that was offered to the store. */
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
};

/**
 * Holds the configuration in force. The version in force never goes down. Of two documents with
 * the same version every node keeps the one whose canonical form sorts higher.
 */
class ConfigurationStore {
 public:
  /** Offers a JSON document from the platform or a peer. */
  OfferOutcome offer(const std::string& json_text);

  /** @return the configuration in force, or nullptr before the first one. */
  const ConfigurationViewPtr& inForce() const { return in_force_; }

  /** @return the canonical document in force with its secrets; empty before the first one. */
  const std::string& documentInForce() const { return canonical_document_; }

  /** @return the version in force; 0 before the first one. */
  ConfigVersion version() const;

  /** @return what was wrong with the last invalid document; empty if none was offered since. */
  const DocumentProblems& lastProblems() const { return last_problems_; }

 private:
  void adopt(Configuration configuration, std::string canonical_document);

  ConfigurationViewPtr in_force_;
  std::string canonical_document_;
  DocumentProblems last_problems_;
};

/** Stable name of an outcome, for logs. */
const char* toString(OfferOutcome outcome);

}  // namespace lugfork
