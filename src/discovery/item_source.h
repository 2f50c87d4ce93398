#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

#include "common/result.h"
#include "common/time_source.h"

/**
 * Read interface to a store of versioned items, used to discover routes and backends. The adapter
 * of each platform implements ItemSource.
 */
namespace lugfork {

/** Position in the store's single sequence of changes. */
using Revision = std::uint64_t;

/** Key, value and revisions of one entry of the store. */
struct Item {
  std::string key;
  std::string value;
  /** Revision of the last change of the item. */
  Revision revision = 0;
  /** Revision of the change that created the item. */
  Revision created = 0;
  auto fields() { return std::tie(key, value, revision, created); }
};

/** Page of the items under a prefix, ordered by key. */
struct ItemPage {
  std::vector<Item> items;
  /** More items follow after the last one of this page. */
  bool more = false;
  /** Revision of the store at the time of the answer. */
  Revision at = 0;
  /** Time since the answering peer got this from the store; 0 if the store answers [ms]. */
  std::uint32_t age_ms = 0;
  /**
   * The page is the whole view of a peer: it replaces the pages before it, and includes all changes
   * up to `at`.
   */
  bool is_whole_view = false;
  /** Number of items skipped because they have no key or no revision. */
  std::uint32_t unreadable = 0;
};

/** Change of one key. */
struct ItemChange {
  Item item;
  /** The key was deleted by the change; the item has no value. */
  bool deleted = false;
  auto fields() { return std::tie(item, deleted); }
};

/** Changes under a prefix, oldest first. */
struct ItemChanges {
  std::vector<ItemChange> changes;
  /** Revision from which the next watch continues. */
  Revision at = 0;
  /** As in ItemPage. */
  std::uint32_t age_ms = 0;
  /** As in ItemPage. */
  std::uint32_t unreadable = 0;
};

/** Reason why a call returned no usable answer. */
enum class SourceError : std::uint8_t {
  NotFound,
  /** The requested changes are no longer available: the items must be read again. */
  HistoryGone,
  /** The store rejected the call because of too many calls. */
  Throttled,
  /** The store reports that it cannot serve the call at present; nothing was done. */
  Unavailable,
  /** The connection failed, or the call timed out. */
  NoAnswer,
  /** The answer cannot be decoded: truncated, too large or of an unexpected format. */
  Malformed,
  Last = Malformed,
};

/** @return the stable name used in logs and metrics. */
const char* toString(SourceError error);

/** Whether a lagging replica may serve a read. */
enum class ReadConsistency { Latest, MayBeStale };

struct PageRequest {
  std::string prefix;
  /** Key after which the page starts; empty for the first page. */
  std::string after_key;
  ReadConsistency consistency = ReadConsistency::Latest;
};

struct WatchRequest {
  std::string prefix;
  /** Only changes after this revision are returned. */
  Revision after = 0;
  /** Longest time that the answer is delayed while there is no change. */
  Duration wait{};
};

/** Calls to one store. Each callback runs once, from the event loop, not within the call. */
class ItemSource {
 public:
  virtual ~ItemSource() = default;

  using PageCallback = std::function<void(Result<ItemPage, SourceError>)>;
  using WatchCallback = std::function<void(Result<ItemChanges, SourceError>)>;

  virtual void readPage(const PageRequest& request, PageCallback callback) = 0;
  virtual void watch(const WatchRequest& request, WatchCallback callback) = 0;
};

}  // namespace lugfork
