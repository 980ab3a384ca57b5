// What the records say of the scheduler's machines: addresses, who is returned, who moves to another shard.
#include <algorithm>
#include <utility>

#include "cluster/machine_group_rewrite.h"
#include "scheduler/shard_scheduler.h"

namespace cherryloft {
namespace {
constexpr Duration kAddressesTogether{3'000};
constexpr Duration kRecordsDeadline{2'000};
constexpr Duration kUntilRecordsShow{300};
}  // namespace

// What is to change in the machine groups, by their keys.
std::map<std::string, ShardScheduler::GroupChange> ShardScheduler::groupChanges(Time now) {
  std::map<std::string, GroupChange> changes;
  for (auto& [_, h] : state_.machines()) {
    if (h.known.record.phase != wire::MachinePhase::InUse) continue;
    if (h.returnNow || (mayLeave(h) && *h.moveTarget < 0)) {
      changes[h.known.group].back.insert(h.id);
    } else if (mayLeave(h)) {
      changes[h.known.group].moved[*h.moveTarget].push_back(&h);
    } else if (h.heard && h.address != h.known.record.address) {
      // Those of a group come up one after the other.
      if (addressSince_ == Time{}) addressSince_ = now;
      if (now - addressSince_ >= kAddressesTogether) changes[h.known.group];
    }
  }
  return changes;
}

// A fleet boots and goes in groups, so one write tells of many.
void ShardScheduler::settleRecords(Time now) {
  if (recordsBusy_ || now < recordsNotBefore_) return;
  auto changes = groupChanges(now);
  if (changes.empty()) return;
  // A move draws an epoch, for which shards compete; what only goes back does not wait for that.
  auto hasMoves = [](const auto& change) { return !change.second.moved.empty(); };
  bool anyMoves = std::any_of(changes.begin(), changes.end(), hasMoves);
  bool allMove = std::all_of(changes.begin(), changes.end(), hasMoves);
  bool moves = anyMoves && (allMove || !recordsMoved_);
  recordsMoved_ = moves;
  TransactionBuilder transaction(settings_.txnOps);
  transaction.require(keys::shard(takeover_.shard), takeover_.version);
  // What we sent under our token must have no effect under the next owner's (invariant 5).
  Epoch token{view_.epoch.value + 1};
  if (moves) transaction.add({keys::kEpoch, wire::encodeEpochCounter(token), {}}, view_.epochVersion);
  auto before = transaction.writes();
  auto most = store_.backgroundBatchSize();
  for (auto& [key, change] : changes) {
    if (transaction.writes() > before && transaction.writes() >= most) break;
    if (change.moved.empty() == moves || groupSplits_.settling(key, now)) continue;
    if (!addGroupChange(transaction, key, change, token)) break;
  }
  if (transaction.writes() == before) return;
  addressSince_ = Time{};
  recordsBusy_ = true;
  store_.transact(RequestPriority::Work, transaction.take(), kRecordsDeadline,
                  guarded([this](TransactionResult r) { recordsWritten(r); }));
}

// Of a group whose machines go to more shards than fit the transaction, those of the first go now.
bool ShardScheduler::addGroupChange(TransactionBuilder& transaction, const std::string& key,
                                    GroupChange& change, Epoch token) {
  auto add = [&] {
    auto rewrite = groupWrites(key, change, token);
    return groupSplits_.add(transaction, key, view_.groupVersion(key), rewrite, runtime_.now());
  };
  while (!add()) {
    if (change.moved.size() <= 1) return false;
    change.moved.erase(std::prev(change.moved.end()));
  }
  return true;
}

MachineGroupRewrite ShardScheduler::groupWrites(const std::string& key, const GroupChange& change,
                                                Epoch token) const {
  auto group = view_.group(key);
  if (group.members.empty()) return {};
  auto exists = [&](const std::string& other) { return view_.groups.count(other) > 0; };
  std::vector<VersionedWrite> created;
  std::set<MachineId> gone;
  for (const auto& [to, machines] : change.moved) {
    auto there = group;
    there.shard = ShardId{static_cast<std::uint32_t>(to)};
    there.token = token;
    there.members.clear();
    for (const Machine* h : machines) {
      gone.insert(h->id);
      there.members.push_back({h->id, wire::MachinePhase::InUse, h->address});
    }
    auto parts = createGroup(there, settings_.valueBytes, exists);
    created.insert(created.end(), parts.begin(), parts.end());
  }
  std::erase_if(group.members, [&](const auto& m) { return gone.count(m.id) > 0; });
  for (auto& m : group.members) {
    if (change.back.count(m.id) > 0) m.phase = wire::MachinePhase::Returning;
    if (auto h = state_.machines().find(m.id); h != state_.machines().end() && !h->second.address.empty())
      m.address = h->second.address;
  }
  // One write of the transaction is the epoch that a move draws.
  auto rewrite =
      rewriteGroup(key, view_.groupVersion(key), group, settings_.valueBytes, settings_.txnOps - 1, exists);
  if (!rewrite.splits) rewrite.writes.insert(rewrite.writes.end(), created.begin(), created.end());
  return rewrite;
}

void ShardScheduler::recordsWritten(const TransactionResult& r) {
  recordsBusy_ = false;
  // The directory is to show what was written before it is looked at again.
  recordsNotBefore_ = runtime_.now() + kUntilRecordsShow;
  if (std::count(r.conflictingKeys.begin(), r.conflictingKeys.end(), keys::shard(takeover_.shard)) > 0)
    callbacks_.dropOwnership();
}

}  // namespace cherryloft
