// PlacementPages: the stored pages (run/<shard>/<page>) that tell which tasks of a shard are placed or done,
// and how many facts of each page still hold. A page whose facts have mostly become outdated is the next to
// be written, and so takes in new ones at the cost of one change.
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
  // maxValueBytes: how large a page's value may be.
  explicit PlacementPages(std::size_t maxValueBytes)
      : mostLiveToRewrite_(maxValueBytes / kBytesPerLiveFact) {}

  // The page with that number, which is created if there is none.
  Page& at(PageNumber number);
  // The emptiest page that is not taken, or a new one while all are more than a quarter full.
  PageNumber next(const std::set<PageNumber>& taken);
  // One that holds nothing any more, if there are so many that it is not worth keeping.
  std::optional<PageNumber> spare(const std::set<PageNumber>& taken) const;
  // The page's key was deleted.
  void drop(PageNumber number) { pages_.erase(number); }
  std::size_t count() const { return pages_.size(); }

 private:
  // A new page is begun while all hold more than one live fact for so many bytes, about a quarter of what
  // fits. The emptier the page that is written anew, the more new facts one change tells.
  static constexpr std::size_t kBytesPerLiveFact = 160;
  std::size_t mostLiveToRewrite_;
  std::map<PageNumber, Page> pages_;
  // Never one that was dropped: its first write may be carried out again, late.
  PageNumber nextNumber_ = 0;
};

}  // namespace cherryloft
