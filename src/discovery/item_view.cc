#include "discovery/item_view.h"

#include <algorithm>

namespace lugfork {

bool ItemView::apply(const ItemChange& change) {
  Known& known = known_[change.item.key];
  if (change.item.revision <= known.item.revision) {
    return false;
  }
  known = {change.item, change.deleted};
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
    const bool covered = known.item.revision <= at;
    if (covered && known.deleted) {
      entry = known_.erase(entry);
      continue;
    }
    if (covered && !shown_.contains(key)) {
      known.deleted = true;
      known.item.value.clear();
      deletions.push_back({known.item, true});
    }
    ++entry;
  }
  shown_.clear();
  history_from_ = std::max(history_from_, at);
  return deletions;
}

ItemPage ItemView::page(const std::string& after_key, std::size_t limit) const {
  ItemPage page;
  page.at = position_;
  for (auto entry = known_.upper_bound(after_key); entry != known_.end(); ++entry) {
    if (entry->second.deleted) {
      continue;
    }
    if (page.items.size() == limit) {
      page.more = true;
      break;
    }
    page.items.push_back(entry->second.item);
  }
  return page;
}

std::optional<ItemChanges> ItemView::changesAfter(Revision after) const {
  if (after < history_from_) {
    return std::nullopt;
  }
  ItemChanges changes;
  changes.at = position_;
  for (const auto& [key, known] : known_) {
    if (known.item.revision > after) {
      changes.changes.push_back({known.item, known.deleted});
    }
  }
  const auto is_older = [](const ItemChange& left, const ItemChange& right) {
    return left.item.revision < right.item.revision;
  };
  std::sort(changes.changes.begin(), changes.changes.end(), is_older);
  return changes;
}

}  // namespace lugfork
