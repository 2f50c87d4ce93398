#pragma once

#include "wire/view_transfer_codec.h"

namespace lugfork {

/** Puts a body together from its parts, in whichever order they come; a newer body wins. */
class ViewAssembly {
 public:
  /** @return true if the part was new. A part that fits no body is ignored. */
  bool onPart(const ViewPart& part);

  /** @return true once no part is missing; the hash may still be wrong. */
  bool hasAllParts() const { return hasParts() && missing_count_ == 0; }

  /** Parts have come, and this is all of a body whose hash is right. */
  bool isComplete() const;

  /** @return true once a part has come. */
  bool hasParts() const { return body_hash_ != 0; }

  /** Sets which parts a request is to ask for: the first ones that are missing. */
  void fillRequest(ViewRequest& request) const;

  /** The same, for parts from a number on; the mask is empty where none of them is missing. */
  void fillRequest(ViewRequest& request, std::uint32_t first_part) const;

  std::uint64_t bodyHash() const { return body_hash_; }

  /** @return the number of the body's parts, once one has come. */
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
