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

using PageNo = std::uint32_t;
inline constexpr PageNo kNoPage = UINT32_MAX;

class Pages {
 public:
  struct Page {
    Version version;              // 0: not written yet
    std::vector<TaskId> members;  // whose state it held when last written
    std::size_t live = 0;         // of those, whose latest state it still is
  };
  explicit Pages(std::size_t valueBytes) : enough_(valueBytes / kBytesPerLiveFact) {}

  Page& at(PageNo n) {
    next_ = std::max(next_, n + 1);
    return pages_[n];
  }
  // The emptiest page, or a new one while all are more than a quarter full.
  PageNo next(const std::set<PageNo>& taken);
  // One that holds nothing any more, if so many are there that it is not worth keeping.
  std::optional<PageNo> spare(const std::set<PageNo>& taken) const;
  void drop(PageNo n) { pages_.erase(n); }
  std::size_t count() const { return pages_.size(); }

 private:
  // A new page is begun while all hold more than one true fact for so many bytes, about a quarter of what
  // fits. The emptier the page that is written anew, the more new facts one change tells.
  static constexpr std::size_t kBytesPerLiveFact = 160;
  std::size_t enough_;
  std::map<PageNo, Page> pages_;
  PageNo next_ = 0;  // never one that was dropped: its first write may be carried out again, late
};

}  // namespace cherryloft
