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

TEST_CASE("a view tells its items in pages", "[item_view]") {
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

TEST_CASE("a view tells what came after a revision, oldest first", "[item_view]") {
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

TEST_CASE("a view does not know deletions from before its first read", "[item_view]") {
  const ItemView view = viewOfThree();
  CHECK_FALSE(view.changesAfter(9).has_value());
  CHECK(view.changesAfter(10).has_value());
}

}  // namespace
}  // namespace lugfork
