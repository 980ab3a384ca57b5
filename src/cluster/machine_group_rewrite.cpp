#include "cluster/machine_group_rewrite.h"

#include <algorithm>
#include <utility>

#include "cluster/cluster_view.h"

namespace cherryloft {
namespace {

// Of the keys that a group's members could name, one that is free: groups made of parts have no epoch of
// their own that would make the first member's key unique.
std::string freeKey(const wire::GroupRecord& group, const GroupExists& exists) {
  for (const auto& member : group.members) {
    auto key = keys::group(member.id, group.token);
    if (!exists(key)) return key;
  }
  return keys::group(group.members.front().id, group.token);
}

VersionedWrite creation(const wire::GroupRecord& group, const GroupExists& exists) {
  return {{freeKey(group, exists), wire::encodeGroup(group), {}}, Version{0}};
}

}  // namespace

std::vector<wire::GroupRecord> splitToFit(const wire::GroupRecord& group, std::size_t valueBytes) {
  std::vector<wire::GroupRecord> parts;
  auto rest = group;
  while (!rest.members.empty()) {
    auto part = rest;
    while (part.members.size() > 1 && wire::encodeGroup(part).size() > valueBytes) part.members.pop_back();
    auto taken = static_cast<std::ptrdiff_t>(part.members.size());
    rest.members.erase(rest.members.begin(), rest.members.begin() + taken);
    parts.push_back(std::move(part));
  }
  return parts;
}

MachineGroupRewrite rewriteGroup(const std::string& key, Version version, const wire::GroupRecord& group,
                                 std::size_t valueBytes, std::size_t mostWrites, const GroupExists& exists) {
  MachineGroupRewrite rewrite;
  auto parts = splitToFit(group, valueBytes);
  if (parts.empty()) rewrite.writes.push_back({{key, std::nullopt, {}}, version});
  if (parts.size() == 1) rewrite.writes.push_back({{key, wire::encodeGroup(group), {}}, version});
  rewrite.splits = parts.size() > 1;
  if (!rewrite.splits) return rewrite;
  parts.erase(parts.begin());
  parts.resize(std::min(parts.size(), mostWrites));
  for (const auto& part : parts) rewrite.writes.push_back(creation(part, exists));
  return rewrite;
}

std::vector<VersionedWrite> createGroup(const wire::GroupRecord& group, std::size_t valueBytes,
                                        const GroupExists& exists) {
  std::vector<VersionedWrite> writes;
  for (const auto& part : splitToFit(group, valueBytes)) writes.push_back(creation(part, exists));
  return writes;
}

bool MachineGroupSplits::settling(const std::string& key, Time now) {
  auto split = since_.find(key);
  if (split == since_.end()) return false;
  if (now - split->second < kSplitSettles) return true;
  since_.erase(split);
  return false;
}

bool MachineGroupSplits::add(TransactionBuilder& transaction, const std::string& key, Version version,
                             const MachineGroupRewrite& rewrite, Time now) {
  if (!transaction.addAll(rewrite.writes)) return false;
  if (!rewrite.splits) return true;
  transaction.require(key, version);
  since_[key] = now;
  return true;
}

}  // namespace cherryloft
