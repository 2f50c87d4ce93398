#include "discovery/item_view.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lugfork {

namespace {

/** Deletions remembered: more than a release of a thousand servers makes (chosen). */
constexpr std::size_t kMaxDeletions = 1024;

}  // namespace

bool ItemView::apply(const ItemChange& change) {
  return apply(entryOf(change.item.key), change);
}

ItemView::Known& ItemView::entryOf(const std::string& key) {
  // Pages are in the order of their keys: a first view then compares each key with one other.
  const bool comes_last = known_.empty() || std::prev(known_.end())->first < key;
  return comes_last ? known_.try_emplace(known_.end(), key)->second : known_[key];
}

bool ItemView::apply(Known& known, const ItemChange& change) {
  if (change.item.revision <= known.item.revision) {
    return false;
  }
  unindex(known);
  known.item = change.item;
  known.deleted = change.deleted;
  by_revision_.emplace(change.item.revision, &known);
  deletions_ += change.deleted ? 1 : 0;
  newest_ = std::max(newest_, change.item.revision);
  forgetOldDeletions();
  return true;
}

void ItemView::startFullRead() {
  ++full_read_;
  full_read_at_.reset();
}

std::vector<ItemChange> ItemView::applyPage(ItemPage page) {
  if (!full_read_at_) {
    full_read_at_ = page.at;
  }
  std::vector<ItemChange> news;
  news.reserve(page.items.size());
  for (Item& item : page.items) {
    Known& known = entryOf(item.key);
    known.shown_in = full_read_;
    ItemChange change{std::move(item), false};
    if (apply(known, change)) {
      news.push_back(std::move(change));
    }
  }
  return news;
}

std::vector<ItemChange> ItemView::finishFullRead() {
  const Revision at = fullReadRevision();
  std::vector<ItemChange> deletions;
  for (const auto& [key, known] : known_) {
    const bool covered = known.item.revision <= at;
    if (covered && !known.deleted && known.shown_in != full_read_) {
      deletions.push_back(
          {{key, "", std::max(at, known.item.revision + 1), known.item.created}, true});
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
