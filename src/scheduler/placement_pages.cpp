#include "scheduler/placement_pages.h"

#include <utility>

namespace cherryloft {
namespace {
// Empty pages kept for reuse: deleting one and creating another costs two writes.
constexpr std::size_t kMaxEmptyPages = 4;
}  // namespace

PlacementPages::Page& PlacementPages::at(PageNumber number) {
  nextNumber_ = std::max(nextNumber_, number + 1);
  return pages_[number];
}

PageNumber PlacementPages::selectForWrite(const std::set<PageNumber>& taken) {
  const std::pair<const PageNumber, Page>* emptiest = nullptr;
  for (const auto& entry : pages_) {
    const auto& [number, page] = entry;
    if (taken.count(number) > 0 || page.live > maxLiveToRewrite_) continue;
    if (!emptiest || page.live < emptiest->second.live) emptiest = &entry;
  }
  if (emptiest) return emptiest->first;
  auto created = nextNumber_;
  at(created);
  return created;
}

std::optional<PageNumber> PlacementPages::surplusPage(const std::set<PageNumber>& taken) const {
  std::size_t empty = 0;
  // modernize-loop-convert suggests std::views::reverse, which clang 14 cannot compile with libstdc++ 12.
  // NOLINTNEXTLINE(modernize-loop-convert)
  for (auto entry = pages_.rbegin(); entry != pages_.rend(); ++entry) {
    const auto& [number, page] = *entry;
    bool written = page.version.value > 0;
    if (page.live > 0 || !written || taken.count(number) > 0) continue;
    ++empty;
    if (empty > kMaxEmptyPages) return number;
  }
  return std::nullopt;
}

}  // namespace cherryloft
