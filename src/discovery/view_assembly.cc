#include "discovery/view_assembly.h"

#include <algorithm>

namespace lugfork {

bool ViewAssembly::onPart(const ViewPart& part) {
  if (part.body_bytes == 0 || part.body_bytes > kMaxBodyBytes || part.body_hash == 0) {
    return false;
  }
  const bool is_other_body = part.body_hash != body_hash_ || part.body_bytes != body_.size();
  const bool is_older = hasParts() && part.status.position < status_.position;
  if (is_other_body && is_older) {
    return false;
  }
  const std::size_t byte_offset = static_cast<std::size_t>(part.part) * kPartBytes;
  if (byte_offset >= part.body_bytes ||
      part.bytes.size() != std::min<std::size_t>(kPartBytes, part.body_bytes - byte_offset)) {
    return false;
  }
  if (is_other_body) {
    begin(part);
  }
  status_ = part.status;
  if (has_part_[part.part]) {
    return false;
  }
  has_part_[part.part] = true;
  --missing_count_;
  std::copy(part.bytes.begin(), part.bytes.end(),
            body_.begin() + static_cast<std::ptrdiff_t>(byte_offset));
  return true;
}

bool ViewAssembly::isComplete() const {
  return hasAllParts() && hashBody(body_) == body_hash_;
}

void ViewAssembly::fillRequest(ViewRequest& request) const {
  const auto first = std::find(has_part_.begin(), has_part_.end(), false);
  fillRequest(request, static_cast<std::uint32_t>(first - has_part_.begin()));
}

void ViewAssembly::fillRequest(ViewRequest& request, std::uint32_t first_part) const {
  request.body_hash = body_hash_;
  request.first_part = first_part;
  request.parts = 0;
  for (std::uint32_t offset = 0; offset < kMaxPartsPerRequest; ++offset) {
    const std::uint32_t part = request.first_part + offset;
    if (part < has_part_.size() && !has_part_[part]) {
      request.parts |= 1U << offset;
    }
  }
}

void ViewAssembly::begin(const ViewPart& part) {
  body_hash_ = part.body_hash;
  body_.assign(part.body_bytes, 0);
  missing_count_ = partCount(part.body_bytes);
  has_part_.assign(missing_count_, false);
}

}  // namespace lugfork
