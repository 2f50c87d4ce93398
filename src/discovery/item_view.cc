#include "discovery/item_view.h"

#include <algorithm>
#include <utility>

namespace lugfork {

namespace {

/** Deletions remembered: more than a release of a thousand servers makes (chosen). */
constexpr std::size_t kMaxDeletions = 1024;

}  // namespace

bool ItemView::apply(const ItemChange& change) {
  Known& known = known_[change.item.key];
  if (change.item.revision <= known.item.revision) {
    return false;
  }
  unindex(known);
  known = {change.item, change.deleted};
  by_revision_.emplace(change.item.revision, &known);
  deletions_ += change.deleted ? 1 : 0;
  newest_ = std::max(newest_, change.item.revision);
  forgetOldDeletions();
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
  for (const auto& [key, known] : known_) {
    const bool covered = known.item.revision <= at;
    if (covered && !known.deleted && !shown_.contains(key)) {
      deletions.push_back(
          {{key, "", std::max(at, known.item.revision + 1), known.item.created}, true});
    }
  }
  for (const ItemChange& deletion : deletions) {
    apply(deletion);
  }
  shown_.clear();
  const bool is_first = !std::exchange(has_full_read_, true);
  history_from_ = is_first ? std::max(history_from_, at) : history_from_;
  return deletions;
}

std::vector<std::string> ItemView::keysUnder(const std::string& prefix) const {
  std::vector<std::string> keys;
  for (auto entry = known_.lower_bound(prefix);
       entry != known_.end() && entry->first.starts_with(prefix); ++entry) {
    if (!entry->second.deleted) {
      keys.push_back(entry->first);
    }
  }
  return keys;
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

void ItemView::unindex(const Known& known) {
  const auto [first, last] = by_revision_.equal_range(known.item.revision);
  const auto found =
      std::find_if(first, last, [&](const auto& entry) { return entry.second == &known; });
  if (found != last) {
    by_revision_.erase(found);
    deletions_ -= known.deleted ? 1 : 0;
  }
}

void ItemView::forgetOldDeletions() {
  auto entry = by_revision_.begin();
  while (deletions_ > kMaxDeletions && entry != by_revision_.end()) {
    const Known& known = *entry->second;
    if (!known.deleted) {
      ++entry;
      continue;
    }
    history_from_ = std::max(history_from_, known.item.revision);
    entry = by_revision_.erase(entry);
    --deletions_;
    const std::string key = known.item.key;
    known_.erase(key);
  }
}

}  // namespace lugfork
