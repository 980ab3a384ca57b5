// ImageCache: an estimate of the container images on a machine's disk. Workers do not report their cached
// images, but they evict in least-recently-used order, so the images can be derived from the tasks started
// there.
#pragma once

#include <list>
#include <vector>

#include "base/types.h"

namespace cherryloft {

class ImageCache {
 public:
  explicit ImageCache(double capacityGb = 0) : capacityGb_(capacityGb) {}

  [[nodiscard]] double capacityGb() const { return capacityGb_; }
  // Records a use of the image and returns the least recently used images evicted to make room for it. The
  // image itself is never evicted, even if it is larger than the cache.
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
