// Tests the estimate of the images cached on a machine.
#include "scheduler/image_cache.h"

#include <gtest/gtest.h>

namespace cherryloft {
namespace {

const ImageId kFirst{"first"};
const ImageId kSecond{"second"};
const ImageId kThird{"third"};

TEST(ImageCache, EvictsTheLeastRecentlyUsedImage) {
  ImageCache cache(10);
  cache.touch(kFirst, 4);
  cache.touch(kSecond, 4);
  cache.touch(kFirst, 4);
  EXPECT_EQ(cache.touch(kThird, 4), std::vector<ImageId>{kSecond});
}

TEST(ImageCache, UsingAnImageAgainTakesNoFurtherSpace) {
  ImageCache cache(10);
  cache.touch(kFirst, 6);
  EXPECT_TRUE(cache.touch(kFirst, 6).empty());
}

TEST(ImageCache, KeepsTheImageInUseEvenIfItIsLargerThanTheCache) {
  ImageCache cache(10);
  cache.touch(kFirst, 4);
  EXPECT_EQ(cache.touch(kSecond, 20), std::vector<ImageId>{kFirst});
}

}  // namespace
}  // namespace cherryloft
