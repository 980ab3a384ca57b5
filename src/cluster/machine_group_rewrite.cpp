#include "cluster/machine_group_rewrite.h"

#include <algorithm>
#include <utility>

#include "cluster/cluster_view.h"

namespace cherryloft {
namespace {

// Time between a split and the rewrite of the group: any reader that lists all groups page by page has seen
// the new groups by then.
constexpr Duration kSplitPropagationTime{5'000};

// Returns a free key among those derived from the group's members. Groups created by a split keep the epoch
// of the original group, so the key of the first member may already exist.
std::string freeKey(const wire::MachineGroupRecord& group, const GroupExists& exists) {
  for (const auto& member : group.members) {
    auto key = keys::group(member.id, group.token);
    if (!exists(key)) return key;
  }
  // No key is free: the write requires that the key does not exist, so the transaction will fail without
  // effect.
  return keys::group(group.members.front().id, group.token);
}

ConditionalWrite creationOf(const wire::MachineGroupRecord& group, const GroupExists& exists) {
  return {{freeKey(group, exists), wire::encodeMachineGroup(group), {}}, Version{0}};
}

}  // namespace

std::vector<wire::MachineGroupRecord> splitToFit(const wire::MachineGroupRecord& group,
                                                 std::size_t maxValueBytes) {
  std::vector<wire::MachineGroupRecord> parts;
  auto remaining = group;
  while (!remaining.members.empty()) {
    auto part = remaining;
    while (part.members.size() > 1 && wire::encodeMachineGroup(part).size() > maxValueBytes)
      part.members.pop_back();
    auto count = static_cast<std::ptrdiff_t>(part.members.size());
    remaining.members.erase(remaining.members.begin(), remaining.members.begin() + count);
    parts.push_back(std::move(part));
  }
  return parts;
}

MachineGroupRewrite rewriteGroup(const std::string& key, Version version,
                                 const wire::MachineGroupRecord& group, std::size_t maxValueBytes,
                                 std::size_t maxWrites, const GroupExists& exists) {
  MachineGroupRewrite rewrite;
  auto parts = splitToFit(group, maxValueBytes);
  if (parts.empty()) rewrite.writes.push_back({{key, std::nullopt, {}}, version});
  if (parts.size() == 1) rewrite.writes.push_back({{key, wire::encodeMachineGroup(group), {}}, version});
  rewrite.splits = parts.size() > 1;
  if (!rewrite.splits) return rewrite;
  // The first part stays in the group itself.
  parts.erase(parts.begin());
  parts.resize(std::min(parts.size(), maxWrites));
  for (const auto& part : parts) rewrite.writes.push_back(creationOf(part, exists));
  return rewrite;
}

std::vector<ConditionalWrite> groupCreationWrites(const wire::MachineGroupRecord& group,
                                                  std::size_t maxValueBytes, const GroupExists& exists) {
  std::vector<ConditionalWrite> writes;
  for (const auto& part : splitToFit(group, maxValueBytes)) writes.push_back(creationOf(part, exists));
  return writes;
}

bool MachineGroupSplits::recentlySplit(const std::string& key, Time now) {
  auto split = splitAt_.find(key);
  if (split == splitAt_.end()) return false;
  if (now - split->second < kSplitPropagationTime) return true;
  splitAt_.erase(split);
  return false;
}

bool MachineGroupSplits::add(TransactionBuilder& transaction, const std::string& key, Version version,
                             const MachineGroupRewrite& rewrite, Time now) {
  if (!transaction.addAll(rewrite.writes)) return false;
  if (!rewrite.splits) return true;
  transaction.addCondition(key, version);
  splitAt_[key] = now;
  return true;
}

}  // namespace cherryloft
