#include "discovery/item_view.h"

#include <catch2/catch.hpp>

#include "discovery/discovery_fixture.h"

namespace lugfork {
namespace {

ItemView viewOfThree() {
  ItemView view;
  view.startFullRead();
  view.applyPage({{item("a", 1), item("b", 2), item("c", 3)}, false, 10});
  view.finishFullRead();
  view.setPosition(10);
  return view;
}

TEST_CASE("a view returns its items in pages", "[item_view]") {
  ItemView view = viewOfThree();
  view.apply(deleted("b", 11));
  const ItemPage first = view.page("", 1);
  REQUIRE(first.items.size() == 1);
  CHECK(first.items[0].key == "a");
  CHECK(first.more);
  CHECK(first.at == 10);
  const ItemPage second = view.page("a", 1);
  CHECK(second.items[0].key == "c");
  CHECK_FALSE(second.more);
}

TEST_CASE("a view returns the changes after a revision, oldest first", "[item_view]") {
  ItemView view = viewOfThree();
  view.apply(written("c", 14));
  view.apply(deleted("a", 12));
  view.setPosition(15);
  const auto changes = view.changesAfter(10);
  REQUIRE(changes.has_value());
  CHECK(changes->at == 15);
  REQUIRE(changes->changes.size() == 2);
  CHECK(changes->changes[0].item.key == "a");
  CHECK(changes->changes[0].deleted);
  CHECK(changes->changes[1].item.key == "c");
}

TEST_CASE("changes from before the first full read are unavailable", "[item_view]") {
  const ItemView view = viewOfThree();
  CHECK_FALSE(view.changesAfter(9).has_value());
  CHECK(view.changesAfter(10).has_value());
}

/** Guards against a whole view for every follower each time the store's history is lost. */
TEST_CASE("changes from before a later full read are available, with the deletions it detected",
          "[item_view]") {
  ItemView view = viewOfThree();
  view.apply(written("c", 12));
  view.apply(deleted("b", 13));
  view.setPosition(13);
  view.startFullRead();
  view.applyPage({{item("c", 12), item("d", 18)}, false, 20});
  const auto deletions = view.finishFullRead();
  REQUIRE(deletions.size() == 1);
  CHECK(deletions[0].item.key == "a");
  view.setPosition(20);
  const auto changes = view.changesAfter(11);
  REQUIRE(changes.has_value());
  REQUIRE(changes->changes.size() == 4);
  CHECK(changes->changes[0].item.key == "c");
  CHECK(changes->changes[1].item.key == "b");
  CHECK(changes->changes[1].deleted);
  CHECK(changes->changes[2].item.key == "d");
  CHECK(changes->changes[3].item.key == "a");
  CHECK(changes->changes[3].deleted);
  CHECK(changes->changes[3].item.revision == 20);
  // A backend that returns under the same key has a newer revision.
  CHECK(view.apply(written("a", 21)));
  CHECK(view.page("", 10).items.size() == 3);
}

TEST_CASE("the oldest deletions are pruned, and the history before them", "[item_view]") {
  ItemView view = viewOfThree();
  Revision revision = 10;
  for (int number = 0; number < 3000; ++number) {
    const std::string key = "server" + std::to_string(number);
    view.apply(written(key, ++revision));
    view.apply(deleted(key, ++revision));
  }
  view.setPosition(revision);
  CHECK_FALSE(view.changesAfter(10).has_value());
  const auto recent = view.changesAfter(revision - 2000);
  REQUIRE(recent.has_value());
  CHECK(recent->changes.size() == 1000);
  CHECK(view.page("", 10).items.size() == 3);
}

}  // namespace
}  // namespace lugfork
