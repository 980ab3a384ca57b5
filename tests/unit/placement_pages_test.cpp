// Which page of a shard is written next.
#include <gtest/gtest.h>

#include "scheduler/placement_pages.h"

using namespace cherryloft;

// A page's first write may be carried out again, late, after the page was dropped: nothing may depend on its
// absence.
TEST(PlacementPages, NoNumberIsUsedAgain) {
  PlacementPages pages(std::size_t{16} * 1024);
  auto number = pages.next({});
  pages.at(number).version = Version{5};
  pages.erase(number);
  EXPECT_NE(pages.next({}), number);
}
