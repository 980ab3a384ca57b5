// The run/ pages of a shard: which exist, and how much of each is still true. A page whose facts have mostly
// become untrue is the next to be written, and so takes in new ones at the cost of one change.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/types.h"

namespace cherryloft {

using PageNumber = std::uint32_t;
inline constexpr PageNumber kNoPage = UINT32_MAX;

class PlacementPages {
 public:
  struct Page {
    Version version;              // 0: not written yet
    std::vector<TaskId> members;  // whose state it held when last written
    std::size_t live = 0;         // of those, whose latest state it still is
  };
  explicit PlacementPages(std::size_t valueBytes) : enough_(valueBytes / kBytesPerLiveFact) {}

  Page& at(PageNumber n) {
    next_ = std::max(next_, n + 1);
    return pages_[n];
  }
  // The emptiest page, or a new one while all are more than a quarter full.
  PageNumber next(const std::set<PageNumber>& taken);
  // One that holds nothing any more, if so many are there that it is not worth keeping.
  std::optional<PageNumber> spare(const std::set<PageNumber>& taken) const;
  void drop(PageNumber n) { pages_.erase(n); }
  std::size_t count() const { return pages_.size(); }

 private:
  // A new page is begun while all hold more than one true fact for so many bytes, about a quarter of what
  // fits. The emptier the page that is written anew, the more new facts one change tells.
  static constexpr std::size_t kBytesPerLiveFact = 160;
  std::size_t enough_;
  std::map<PageNumber, Page> pages_;
  PageNumber next_ = 0;  // never one that was dropped: its first write may be carried out again, late
};

}  // namespace cherryloft
