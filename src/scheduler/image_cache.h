// ImageCache: which images a machine is taken to have on its disk. Machines do not tell; they keep the most
// recently used ones, so that what was started there tells it.
#pragma once

#include <list>
#include <vector>

#include "base/types.h"

namespace cherryloft {

class ImageCache {
 public:
  explicit ImageCache(double capacityGb = 0) : capacityGb_(capacityGb) {}

  // The image was used just now. Returns the images that were evicted for it, the least recently used of all;
  // never the image itself, even if it is larger than the cache.
  std::vector<ImageId> touch(const ImageId& image, double sizeGb);

 private:
  struct Entry {
    ImageId image;
    double sizeGb;
  };
  double capacityGb_;
  std::list<Entry> entries_;  // most recently used first
};

}  // namespace cherryloft
