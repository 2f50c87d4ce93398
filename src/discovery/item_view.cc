#include "discovery/item_view.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lugfork {

namespace {

/** Limit of deletions kept: more than a release of a thousand backends causes. */
constexpr std::size_t kMaxDeletions = 1024;

}  // namespace

bool ItemView::apply(const ItemChange& change) {
  return apply(entryOf(change.item.key), change);
}

ItemView::Entry& ItemView::entryOf(const std::string& key) {
  // Pages are ordered by key, so the first full read needs only one comparison for each key.
  const bool is_last_key = entries_.empty() || std::prev(entries_.end())->first < key;
  return is_last_key ? entries_.try_emplace(entries_.end(), key)->second : entries_[key];
}

bool ItemView::apply(Entry& entry, const ItemChange& change) {
  if (change.item.revision <= entry.item.revision) {
    return false;
  }
  removeFromIndex(entry);
  entry.item = change.item;
  entry.deleted = change.deleted;
  by_revision_.emplace(change.item.revision, &entry);
  deletion_count_ += change.deleted ? 1 : 0;
  newest_revision_ = std::max(newest_revision_, change.item.revision);
  pruneDeletions();
  return true;
}

void ItemView::startFullRead() {
  ++full_read_number_;
  full_read_revision_.reset();
}

std::vector<ItemChange> ItemView::applyPage(ItemPage page) {
  if (!full_read_revision_) {
    full_read_revision_ = page.at;
  }
  std::vector<ItemChange> newer;
  newer.reserve(page.items.size());
  for (Item& item : page.items) {
    Entry& entry = entryOf(item.key);
    entry.seen_in = full_read_number_;
    ItemChange change{std::move(item), false};
    if (apply(entry, change)) {
      newer.push_back(std::move(change));
    }
  }
  return newer;
}

std::vector<ItemChange> ItemView::finishFullRead() {
  const Revision at = fullReadRevision();
  std::vector<ItemChange> deletions;
  for (const auto& [key, entry] : entries_) {
    const bool is_covered = entry.item.revision <= at;
    if (is_covered && !entry.deleted && entry.seen_in != full_read_number_) {
      deletions.push_back(
          {{key, "", std::max(at, entry.item.revision + 1), entry.item.created}, true});
    }
  }
  for (const ItemChange& deletion : deletions) {
    apply(deletion);
  }
  const bool is_first = !std::exchange(has_full_read_, true);
  history_from_ = is_first ? std::max(history_from_, at) : history_from_;
  return deletions;
}

std::vector<std::string> ItemView::keysUnder(const std::string& prefix) const {
  std::vector<std::string> keys;
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && it->first.starts_with(prefix); ++it) {
    if (!it->second.deleted) {
      keys.push_back(it->first);
    }
  }
  return keys;
}

ItemPage ItemView::page(const std::string& after_key, std::size_t limit) const {
  ItemPage page;
  page.at = position_;
  for (auto it = entries_.upper_bound(after_key); it != entries_.end(); ++it) {
    if (it->second.deleted) {
      continue;
    }
    if (page.items.size() == limit) {
      page.more = true;
      break;
    }
    page.items.push_back(it->second.item);
  }
  return page;
}

std::optional<ItemChanges> ItemView::changesAfter(Revision after, std::size_t limit) const {
  if (after < history_from_) {
    return std::nullopt;
  }
  ItemChanges changes;
  changes.at = position_;
  for (auto it = by_revision_.upper_bound(after); it != by_revision_.end(); ++it) {
    if (changes.changes.size() == limit) {
      changes.at = changes.changes.back().item.revision;
      break;
    }
    changes.changes.push_back({it->second->item, it->second->deleted});
  }
  return changes;
}

void ItemView::removeFromIndex(const Entry& entry) {
  const auto [first, last] = by_revision_.equal_range(entry.item.revision);
  const auto found =
      std::find_if(first, last, [&](const auto& indexed) { return indexed.second == &entry; });
  if (found != last) {
    by_revision_.erase(found);
    deletion_count_ -= entry.deleted ? 1 : 0;
  }
}

void ItemView::pruneDeletions() {
  auto it = by_revision_.begin();
  while (deletion_count_ > kMaxDeletions && it != by_revision_.end()) {
    const Entry& entry = *it->second;
    if (!entry.deleted) {
      ++it;
      continue;
    }
    history_from_ = std::max(history_from_, entry.item.revision);
    it = by_revision_.erase(it);
    --deletion_count_;
    const std::string key = entry.item.key;
    entries_.erase(key);
  }
}

}  // namespace lugfork
