#include "scheduler/placement_pages.h"

#include <utility>

namespace cherryloft {
namespace {
// Empty pages that are kept for the next facts: dropping one and beginning another costs two changes.
constexpr std::size_t kEmptyPagesKept = 4;
}  // namespace

PlacementPages::Page& PlacementPages::at(PageNumber number) {
  nextNumber_ = std::max(nextNumber_, number + 1);
  return pages_[number];
}

PageNumber PlacementPages::next(const std::set<PageNumber>& taken) {
  const std::pair<const PageNumber, Page>* emptiest = nullptr;
  for (const auto& entry : pages_) {
    const auto& [number, page] = entry;
    if (taken.count(number) > 0 || page.live > mostLiveToRewrite_) continue;
    if (!emptiest || page.live < emptiest->second.live) emptiest = &entry;
  }
  if (emptiest) return emptiest->first;
  auto created = nextNumber_;
  at(created);
  return created;
}

std::optional<PageNumber> PlacementPages::surplusPage(const std::set<PageNumber>& taken) const {
  std::size_t empty = 0;
  // clang 14 can't compile std::views::reverse with libstdc++ 12, which modernize-loop-convert asks for.
  // NOLINTNEXTLINE(modernize-loop-convert)
  for (auto entry = pages_.rbegin(); entry != pages_.rend(); ++entry) {
    const auto& [number, page] = *entry;
    bool written = page.version.value > 0;
    if (page.live > 0 || !written || taken.count(number) > 0) continue;
    ++empty;
    if (empty > kEmptyPagesKept) return number;
  }
  return std::nullopt;
}

}  // namespace cherryloft
