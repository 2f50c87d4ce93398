#pragma once

#include <algorithm>
#include <limits>
#include <map>
#include <optional>

#include "discovery/item_source.h"

namespace lugfork {

/**
 * What is known of the items under one prefix. For each key the highest revision wins, whichever
 * order answers come in: nothing goes back.
 */
class ItemView {
 public:
  static constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();

  /** @return true if the change is newer than what was known. */
  bool apply(const ItemChange& change);

  /** Starts to collect a full read; an unfinished one is forgotten. */
  void startFullRead();

  /** @return the items of the page that are newer than what was known. */
  std::vector<ItemChange> applyPage(ItemPage page);

  /**
   * Ends a full read: keys that it did not show and that were not written since are deleted. Since
   * nobody tells when, they count as deleted at the read's revision; so what has changed since an
   * earlier revision is known across a full read, and followers need no whole view for it.
   * @return the deletions.
   */
  std::vector<ItemChange> finishFullRead();

  /** @return the revision of the full read's first page, from which a watch misses nothing. */
  Revision fullReadRevision() const { return full_read_revision_.value_or(0); }

  /** @return the highest revision seen in an item or a deletion. */
  Revision newestRevision() const { return newest_revision_; }

  /** @return the keys under a prefix that exist, as far as is known. */
  std::vector<std::string> keysUnder(const std::string& prefix) const;

  /** Notes that all changes up to a revision have been told. */
  void setPosition(Revision at) { position_ = std::max(position_, at); }
  Revision position() const { return position_; }

  /** @return the items after a key, as this view knows them; for nodes that follow this one. */
  ItemPage page(const std::string& after_key, std::size_t limit) const;

  /**
   * @param limit most changes; where there are more, `at` of the answer is the last one's revision.
   * @return the changes after a revision; nothing where this view began later than that.
   */
  std::optional<ItemChanges> changesAfter(Revision after, std::size_t limit = kNoLimit) const;

 private:
  struct Entry {
    Item item;
    bool deleted = false;
    /** The full read that has shown it last. */
    std::uint64_t seen_in = 0;
  };
  using Entries = std::map<std::string, Entry>;

  /** @return what is known of a key, which is entered where it was not. */
  Entry& entryOf(const std::string& key);
  bool apply(Entry& entry, const ItemChange& change);
  void removeFromIndex(const Entry& entry);
  /** Forgets the oldest deletions beyond a limit, and with them the history before. */
  void pruneDeletions();

  Entries entries_;
  /** What is known, in the order of its last changes; elements of the map stay where they are. */
  std::multimap<Revision, const Entry*> by_revision_;
  std::size_t deletion_count_ = 0;
  /** Number of the full read that is under way, or was last. */
  std::uint64_t full_read_number_ = 1;
  std::optional<Revision> full_read_revision_;
  Revision newest_revision_ = 0;
  Revision position_ = 0;
  /** Deletions up to here may be unknown. */
  Revision history_from_ = 0;
  bool has_full_read_ = false;
};

}  // namespace lugfork
