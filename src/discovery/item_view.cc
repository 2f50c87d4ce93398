#include "discovery/item_view.h"

#include <algorithm>

namespace lugfork {

bool ItemView::apply(const ItemChange& change) {
  Known& known = known_[change.item.key];
  if (change.item.revision <= known.item.revision) {
    return false;
  }
  by_revision_.erase(known.item.revision);
  known = {change.item, change.deleted};
  by_revision_[change.item.revision] = &known;
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
      entry = erase(entry);
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

std::optional<ItemChanges> ItemView::changesAfter(Revision after, std::size_t limit) const {
  if (after < history_from_) {
    return std::nullopt;
  }
  ItemChanges changes;
  changes.at = position_;
  for (auto entry = by_revision_.upper_bound(after); entry != by_revision_.end(); ++entry) {
    if (changes.changes.size() == limit) {
      changes.at = changes.changes.back().item.revision;
      break;
    }
    changes.changes.push_back({entry->second->item, entry->second->deleted});
  }
  return changes;
}

ItemView::KnownItems::iterator ItemView::erase(KnownItems::iterator entry) {
  by_revision_.erase(entry->second.item.revision);
  return known_.erase(entry);
}

}  // namespace lugfork
