// Tests the choice of the page to write next.
#include <gtest/gtest.h>

#include "scheduler/placement_pages.h"

using namespace cherryloft;

// A delayed retry of a page's first write may recreate its key after the page was deleted, so no later page
// may use the same key.
TEST(PlacementPages, NumbersOfDeletedPagesAreNotReused) {
  PlacementPages pages(std::size_t{16} * 1024);
  auto number = pages.selectForWrite({});
  pages.at(number).version = Version{5};
  pages.erase(number);
  EXPECT_NE(pages.selectForWrite({}), number);
}
