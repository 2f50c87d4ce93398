#pragma once

#include "wire/view_transfer_codec.h"

namespace lugfork {

/** Reassembles a body from its parts, in any order; a newer body replaces an older one. */
class ViewAssembly {
 public:
  /** @return true if the part was new. Invalid parts and parts of an older body are ignored. */
  bool onPart(const ViewPart& part);

  /** @return true once no part is missing; the hash has not been checked. */
  bool hasAllParts() const { return hasParts() && missing_count_ == 0; }

  /** @return true if no part is missing and the body matches its hash. */
  bool isComplete() const;

  /** @return true once a part has been accepted. */
  bool hasParts() const { return body_hash_ != 0; }

  /** Makes a request ask for the missing parts, from the first one that is missing. */
  void fillRequest(ViewRequest& request) const;

  /** The same from a given part on; the mask is 0 if none of those parts is missing. */
  void fillRequest(ViewRequest& request, std::uint32_t first_part) const;

  std::uint64_t bodyHash() const { return body_hash_; }

  /** @return the number of parts of the body; 0 before the first part. */
  std::uint32_t parts() const { return static_cast<std::uint32_t>(has_part_.size()); }

  /** @return the status that came with the newest part. */
  const ViewStatus& status() const { return status_; }
  const Bytes& body() const { return body_; }
  Bytes takeBody() { return std::move(body_); }

 private:
  void begin(const ViewPart& part);

  ViewStatus status_;
  std::uint64_t body_hash_ = 0;
  Bytes body_;
  std::vector<bool> has_part_;
  std::uint32_t missing_count_ = 0;
};

}  // namespace lugfork
