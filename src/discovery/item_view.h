#pragma once

#include <map>
#include <optional>
#include <unordered_set>

#include "discovery/item_source.h"

namespace lugfork {

/**
 * What is known of the items under one prefix. For each key the highest revision wins, whichever
 * order answers come in: nothing goes back.
 */
class ItemView {
 public:
  /** @return true if the change is newer than what was known. */
  bool apply(const ItemChange& change);

  /** Starts to collect a full read; an unfinished one is forgotten. */
  void startFullRead();

  /** @return the items of the page that are newer than what was known. */
  std::vector<ItemChange> applyPage(const ItemPage& page);

  /**
   * Ends a full read: keys that it did not show and that were not written since are deleted.
   * @return the deletions.
   */
  std::vector<ItemChange> finishFullRead();

  /** @return the revision of the full read's first page, from which a watch misses nothing. */
  Revision fullReadRevision() const { return full_read_at_.value_or(0); }

  /** @return the highest revision seen in an item or a deletion. */
  Revision newestRevision() const { return newest_; }

 private:
  struct Known {
    Revision revision = 0;
    bool deleted = false;
  };

  std::map<std::string, Known> known_;
  std::unordered_set<std::string> shown_;
  std::optional<Revision> full_read_at_;
  Revision newest_ = 0;
};

}  // namespace lugfork
