#include "scheduler/image_cache.h"

namespace cherryloft {

std::vector<ImageId> ImageCache::touch(const ImageId& image, double sizeGb) {
  entries_.remove_if([&](const Entry& entry) { return entry.image == image; });
  entries_.push_front({image, sizeGb});
  std::vector<ImageId> evicted;
  double usedGb = 0;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    usedGb += entry->sizeGb;
    if (usedGb <= capacityGb_ || entry == entries_.begin()) {
      ++entry;
      continue;
    }
    evicted.push_back(entry->image);
    entry = entries_.erase(entry);
  }
  return evicted;
}

}  // namespace cherryloft
