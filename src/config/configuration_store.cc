#include "config/configuration_store.h"

namespace lugfork {

OfferOutcome ConfigurationStore::offer(const std::string& json_text) {
  auto parsed = parseConfigurationDocument(json_text);
  if (!parsed) {
    last_problems_ = parsed.error();
    return OfferOutcome::Invalid;
  }
  Configuration& configuration = parsed.value();
  if (configuration.version < version()) {
    return OfferOutcome::Older;
  }
  std::string canonical = writeConfigurationDocument(configuration, SecretHandling::Include);
  if (configuration.version > version()) {
    adopt(std::move(configuration), std::move(canonical));
    return OfferOutcome::Adopted;
  }
  if (canonical == canonical_document_) {
    return OfferOutcome::AlreadyInForce;
  }
  if (canonical < canonical_document_) {
    return OfferOutcome::ConflictKept;
  }
  adopt(std::move(configuration), std::move(canonical));
  return OfferOutcome::ConflictAdopted;
}

ConfigVersion ConfigurationStore::version() const {
  return in_force_ == nullptr ? ConfigVersion() : in_force_->version();
}

void ConfigurationStore::adopt(Configuration configuration, std::string canonical_document) {
  in_force_ = std::make_shared<const ConfigurationView>(std::move(configuration));
  canonical_document_ = std::move(canonical_document);
  last_problems_.clear();
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
  }
  return "unknown";
}

}  // namespace lugfork
