#include "cluster/machine_group_rewrite.h"

#include <algorithm>
#include <utility>

#include "cluster/cluster_view.h"

namespace cherryloft {
namespace {

// From a split until the group is rewritten: whoever is reading all groups, key after key, has seen the new
// ones by then.
constexpr Duration kSplitSettleTime{5'000};

// Of the keys that a group's members could name, one that is free: groups made of parts have no epoch of
// their own that would make the first member's key unique.
std::string freeKey(const wire::MachineGroupRecord& group, const GroupExists& exists) {
  for (const auto& member : group.members) {
    auto key = keys::group(member.id, group.token);
    if (!exists(key)) return key;
  }
  // None is: the write's condition, that the key does not exist, will fail and leave everything as it is.
  return keys::group(group.members.front().id, group.token);
}

VersionedWrite creationOf(const wire::MachineGroupRecord& group, const GroupExists& exists) {
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
    auto taken = static_cast<std::ptrdiff_t>(part.members.size());
    remaining.members.erase(remaining.members.begin(), remaining.members.begin() + taken);
    parts.push_back(std::move(part));
  }
  return parts;
}

MachineGroupRewrite rewriteGroup(const std::string& key, Version version,
                                 const wire::MachineGroupRecord& group, std::size_t maxValueBytes,
                                 std::size_t mostWrites, const GroupExists& exists) {
  MachineGroupRewrite rewrite;
  auto parts = splitToFit(group, maxValueBytes);
  if (parts.empty()) rewrite.writes.push_back({{key, std::nullopt, {}}, version});
  if (parts.size() == 1) rewrite.writes.push_back({{key, wire::encodeMachineGroup(group), {}}, version});
  rewrite.splits = parts.size() > 1;
  if (!rewrite.splits) return rewrite;
  // The first part is what will be left of the group itself.
  parts.erase(parts.begin());
  parts.resize(std::min(parts.size(), mostWrites));
  for (const auto& part : parts) rewrite.writes.push_back(creationOf(part, exists));
  return rewrite;
}

std::vector<VersionedWrite> createGroup(const wire::MachineGroupRecord& group, std::size_t maxValueBytes,
                                        const GroupExists& exists) {
  std::vector<VersionedWrite> writes;
  for (const auto& part : splitToFit(group, maxValueBytes)) writes.push_back(creationOf(part, exists));
  return writes;
}

bool MachineGroupSplits::settling(const std::string& key, Time now) {
  auto split = splitAt_.find(key);
  if (split == splitAt_.end()) return false;
  if (now - split->second < kSplitSettleTime) return true;
  splitAt_.erase(split);
  return false;
}

bool MachineGroupSplits::add(TransactionBuilder& transaction, const std::string& key, Version version,
                             const MachineGroupRewrite& rewrite, Time now) {
  if (!transaction.addAll(rewrite.writes)) return false;
  if (!rewrite.splits) return true;
  transaction.require(key, version);
  splitAt_[key] = now;
  return true;
}

}  // namespace cherryloft
