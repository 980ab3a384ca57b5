#include "scheduler/placement_pages.h"

namespace cherryloft {

PageNumber PlacementPages::next(const std::set<PageNumber>& taken) {
  const std::pair<const PageNumber, Page>* best = nullptr;
  for (const auto& p : pages_)
    if (taken.count(p.first) == 0 && p.second.live <= enough_ && (!best || p.second.live < best->second.live))
      best = &p;
  if (best) return best->first;
  auto n = next_;
  at(n);
  return n;
}

std::optional<PageNumber> PlacementPages::spare(const std::set<PageNumber>& taken) const {
  constexpr std::size_t keep = 4;
  std::size_t empty = 0;
  // clang 14 can't compile std::views::reverse with libstdc++ 12, which modernize-loop-convert asks for.
  // NOLINTNEXTLINE(modernize-loop-convert)
  for (auto it = pages_.rbegin(); it != pages_.rend(); ++it)
    if (it->second.live == 0 && it->second.version.value > 0 && taken.count(it->first) == 0 && ++empty > keep)
      return it->first;
  return std::nullopt;
}

}  // namespace cherryloft
