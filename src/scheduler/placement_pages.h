// PlacementPages: the stored pages (run/<shard>/<page>) that record the placed and completed tasks of a
// shard, with the number of entries on each page that are still current. The page with the fewest current
// entries is rewritten first, so that one write stores as many new entries as possible.
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
    Version version;              // 0: not stored yet
    std::vector<TaskId> members;  // tasks whose state it held when last written
    std::size_t live = 0;         // members whose latest state is still on this page
  };
  // maxValueBytes: size limit of a page's value.
  explicit PlacementPages(std::size_t maxValueBytes)
      : maxLiveToRewrite_(maxValueBytes / kBytesPerLiveEntry) {}

  // The page with that number; creates it if it does not exist.
  Page& at(PageNumber number);
  // The page to write next: the one outside `taken` with the fewest live entries, or a new one if all are
  // more than about a quarter full.
  PageNumber selectForWrite(const std::set<PageNumber>& taken);
  // An empty page that can be deleted; nothing while few enough pages are empty to be kept for reuse.
  std::optional<PageNumber> surplusPage(const std::set<PageNumber>& taken) const;
  // Forgets a page whose key was deleted.
  void erase(PageNumber number) { pages_.erase(number); }
  std::size_t count() const { return pages_.size(); }

 private:
  // A page is rewritten only while it holds at most one live entry per this many bytes, which is about a
  // quarter of what fits. Rewriting emptier pages stores more new entries with each write.
  static constexpr std::size_t kBytesPerLiveEntry = 160;
  std::size_t maxLiveToRewrite_;
  std::map<PageNumber, Page> pages_;
  // Numbers of deleted pages are not reused: a delayed retry of a page's first write could recreate its key.
  PageNumber nextNumber_ = 0;
};

}  // namespace cherryloft
