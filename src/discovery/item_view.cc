#include "discovery/item_view.h"

#include <algorithm>

namespace lugfork {

bool ItemView::apply(const ItemChange& change) {
  Known& known = known_[change.item.key];
  if (change.item.revision <= known.revision) {
    return false;
  }
  known.revision = change.item.revision;
  known.deleted = change.deleted;
  newest_ = std::max(newest_, change.item.revision);
  return true;
}

void ItemView::startFullRead() {
  shown_.clear();
  full_read_at_.reset();
}

std::vector<ItemChange> ItemView::applyPage(const ItemPage& page) {
  if (!full_read_at_) {
    full_read_at_ = page.at;
  }
  std::vector<ItemChange> news;
  for (const Item& item : page.items) {
    shown_.insert(item.key);
    const ItemChange change{item, false};
    if (apply(change)) {
      news.push_back(change);
    }
  }
  return news;
}

std::vector<ItemChange> ItemView::finishFullRead() {
  const Revision at = fullReadRevision();
  std::vector<ItemChange> deletions;
  for (auto entry = known_.begin(); entry != known_.end();) {
    auto& [key, known] = *entry;
    const bool covered = known.revision <= at;
    if (covered && known.deleted) {
      entry = known_.erase(entry);
      continue;
    }
    if (covered && !shown_.contains(key)) {
      known.deleted = true;
      deletions.push_back({Item{key, {}, known.revision, 0}, true});
    }
    ++entry;
  }
  shown_.clear();
  return deletions;
}

}  // namespace lugfork
