#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

#include "common/result.h"
#include "common/time_source.h"

/**
 * Reads of a store of versioned items, as the discovery of routes and back ends needs them. The
 * adapter of each platform implements ItemSource.
 */
namespace lugfork {

/** Position in the store's single sequence of changes. */
using Revision = std::uint64_t;

/** One key of the store with its content. */
struct Item {
  std::string key;
  std::string value;
  /** The item's last change. */
  Revision revision = 0;
  /** The change that created the item. */
  Revision created = 0;
  auto fields() { return std::tie(key, value, revision, created); }
};

/** Part of the items under a prefix, in the order of their keys. */
struct ItemPage {
  std::vector<Item> items;
  /** More items follow after the last of these. */
  bool more = false;
  /** The store's revision when it answered. */
  Revision at = 0;
  /** Time since the store told this to who answers; 0 where that is the store [ms]. */
  std::uint32_t age_ms = 0;
  /**
   * The page is another balancer's whole view: it takes the place of the pages before it, and
   * nothing up to `at` is missing.
   */
  bool is_whole_view = false;
  /** Items that name no key or no revision, and are left out. */
  std::uint32_t unreadable = 0;
};

/** What happened to one key. */
struct ItemChange {
  Item item;
  /** The key was deleted by the change; the item has no value. */
  bool deleted = false;
  auto fields() { return std::tie(item, deleted); }
};

/** Changes under a prefix, oldest first. */
struct ItemChanges {
  std::vector<ItemChange> changes;
  /** Revision from which the next watch goes on. */
  Revision at = 0;
  /** As in ItemPage. */
  std::uint32_t age_ms = 0;
  /** As in ItemPage. */
  std::uint32_t unreadable = 0;
};

/** Why a call gave no answer that can be used. */
enum class SourceError : std::uint8_t {
  NotFound,
  /** The changes asked for are forgotten: the items must be read anew. */
  HistoryGone,
  /** Too many calls for now. */
  Throttled,
  /** The store says that it can't serve now; nothing was done. */
  Unavailable,
  /** The connection failed, or no answer came in time. */
  NoAnswer,
  /** The answer can't be read: cut short, too large or of another form. */
  Malformed,
  Last = Malformed,
};

/** Stable name of an error, for logs and metrics. */
const char* toString(SourceError error);

/** Whether a read may be served by a replica that lags behind. */
enum class ReadConsistency { Latest, MayBeStale };

struct PageRequest {
  std::string prefix;
  /** Key after which the page begins; empty for the first page. */
  std::string after_key;
  ReadConsistency consistency = ReadConsistency::Latest;
};

struct WatchRequest {
  std::string prefix;
  /** Only changes after this one are told. */
  Revision after = 0;
  /** Longest time for which the answer is held back while there is no change. */
  Duration wait{};
};

/** Calls to one store. Each callback is called once, from the event loop and never at once. */
class ItemSource {
 public:
  virtual ~ItemSource() = default;

  using PageCallback = std::function<void(Result<ItemPage, SourceError>)>;
  using WatchCallback = std::function<void(Result<ItemChanges, SourceError>)>;

  virtual void readPage(const PageRequest& request, PageCallback callback) = 0;
  virtual void watch(const WatchRequest& request, WatchCallback callback) = 0;
};

}  // namespace lugfork
