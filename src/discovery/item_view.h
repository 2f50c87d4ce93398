#pragma once

#include <algorithm>
#include <limits>
#include <map>
#include <optional>

#include "discovery/item_source.h"

namespace lugfork {

/**
 * Local copy of the items under one prefix. Each key keeps its highest revision, whatever the order
 * of the answers, so that no item reverts to an older state.
 */
class ItemView {
 public:
  static constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();

  /** @return true if the change is newer than the key's entry. */
  bool apply(const ItemChange& change);

  /** Starts a full read; an unfinished one is discarded. */
  void startFullRead();

  /** @return the items of the page that are newer than their entries. */
  std::vector<ItemChange> applyPage(ItemPage page);

  /**
   * Finishes a full read: keys that it did not contain and that were not written since are deleted.
   * The time of their deletion is unknown, so they count as deleted at the read's revision. The
   * history of changes thus continues across a full read, and followers need no whole view.
   * @return the deletions.
   */
  std::vector<ItemChange> finishFullRead();

  /** @return the revision of the full read's first page; a watch from it misses no change. */
  Revision fullReadRevision() const { return full_read_revision_.value_or(0); }

  /** @return the highest revision of any item or deletion. */
  Revision newestRevision() const { return newest_revision_; }

  /** @return the keys under a prefix that exist in this view. */
  std::vector<std::string> keysUnder(const std::string& prefix) const;

  /** Records that all changes up to a revision have been received. */
  void setPosition(Revision at) { position_ = std::max(position_, at); }
  Revision position() const { return position_; }

  /** @return the items after a key, to be sent to followers. */
  ItemPage page(const std::string& after_key, std::size_t limit) const;

  /**
   * @param limit maximum number of changes; if there are more, `at` is the last one's revision.
   * @return the changes after a revision; nothing if the history does not reach back that far.
   */
  std::optional<ItemChanges> changesAfter(Revision after, std::size_t limit = kNoLimit) const;

 private:
  struct Entry {
    Item item;
    bool deleted = false;
    /** Number of the last full read that contained the key. */
    std::uint64_t seen_in = 0;
  };
  using Entries = std::map<std::string, Entry>;

  /** @return the entry of a key, which is inserted if it does not exist. */
  Entry& entryOf(const std::string& key);
  bool apply(Entry& entry, const ItemChange& change);
  void removeFromIndex(const Entry& entry);
  /** Removes the oldest deletions beyond the limit, and with them the history before them. */
  void pruneDeletions();

  Entries entries_;
  /** Entries ordered by their last change; pointers to elements of the map stay valid. */
  std::multimap<Revision, const Entry*> by_revision_;
  std::size_t deletion_count_ = 0;
  /** Number of the current full read, or of the last one. */
  std::uint64_t full_read_number_ = 1;
  std::optional<Revision> full_read_revision_;
  Revision newest_revision_ = 0;
  Revision position_ = 0;
  /** Deletions up to this revision may be missing. */
  Revision history_from_ = 0;
  bool has_full_read_ = false;
};

}  // namespace lugfork
