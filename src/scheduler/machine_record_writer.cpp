#include "scheduler/machine_record_writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cherryloft {
namespace {
// Machines of a group come up one after another: their addresses are batched into one write.
constexpr Duration kAddressBatchingTime{3'000};
constexpr Duration kWriteTimeout{2'000};
// Spaces the writes; also the time for one without an answer to become visible in the cluster view.
constexpr Duration kViewUpdateDelay{300};

// Whether the machine is to leave the shard, and nothing the shard sent can still take effect on it.
bool readyToLeave(const Machine& machine) {
  return machine.moveTarget && machine.placements.empty() && machine.acknowledged() &&
         !machine.commandInFlight;
}

bool returnsToCloud(const Machine& machine) {
  return machine.returnNow || (readyToLeave(machine) && *machine.moveTarget < 0);
}
}  // namespace

MachineRecordWriter::MachineRecordWriter(const Settings& settings, const Runtime& runtime,
                                         KeyValueStore& store, const ClusterView& view,
                                         ShardTakeover takeover, const ShardState& state,
                                         std::function<void()> shardLost)
    : settings_(settings),
      runtime_(runtime),
      store_(store),
      view_(view),
      takeover_(takeover),
      state_(state),
      shardLost_(std::move(shardLost)) {}

void MachineRecordWriter::writeChanges(Time now) {
  if (writeInFlight_ || now < nextWriteNotBefore_) return;
  auto changes = collectChanges(now);
  if (changes.empty()) return;
  auto batch = chooseBatch(changes);
  lastBatch_ = batch;
  TransactionBuilder transaction(settings_.txnOps);
  transaction.addCondition(keys::shard(takeover_.shard), takeover_.version);
  // Commands sent under this shard's token must have no effect under the next owner's token (invariant 5).
  Epoch token{view_.epoch.value + 1};
  if (batch == Batch::Moves)
    transaction.add({keys::kEpoch, wire::encodeEpochCounter(token), {}}, view_.epochVersion);
  auto writesBefore = transaction.writes();
  addChanges(transaction, changes, batch, token, now);
  if (transaction.writes() == writesBefore) return;
  addressUnwrittenSince_ = Time{};
  writeInFlight_ = true;
  store_.transact(RequestPriority::Commit, transaction.take(), kWriteTimeout,
                  [this, alive = std::weak_ptr<bool>(alive_)](const TransactionResult& result) {
                    if (alive.lock()) handleWriteResult(result);
                  });
}

MachineRecordWriter::GroupChanges MachineRecordWriter::collectChanges(Time now) {
  GroupChanges changes;
  for (const auto& [id, machine] : state_.machines()) {
    const auto& record = machine.known.record;
    if (record.phase != wire::MachinePhase::InUse) continue;
    if (returnsToCloud(machine)) {
      changes[machine.known.group].returned.insert(id);
    } else if (readyToLeave(machine)) {
      ShardId to{static_cast<std::uint32_t>(*machine.moveTarget)};
      changes[machine.known.group].movedToShard[to].push_back(&machine);
    } else if (machine.registered && machine.address != record.address) {
      if (addressUnwrittenSince_ == Time{}) addressUnwrittenSince_ = now;
      if (now - addressUnwrittenSince_ >= kAddressBatchingTime) changes.try_emplace(machine.known.group);
    }
  }
  return changes;
}

// Alternates between the two kinds of batch while there are changes of both kinds.
MachineRecordWriter::Batch MachineRecordWriter::chooseBatch(const GroupChanges& changes) const {
  auto hasMoves = [](const auto& change) { return !change.second.movedToShard.empty(); };
  bool anyMoves = std::any_of(changes.begin(), changes.end(), hasMoves);
  bool allMove = std::all_of(changes.begin(), changes.end(), hasMoves);
  bool movesNext = anyMoves && (allMove || lastBatch_ != Batch::Moves);
  return movesNext ? Batch::Moves : Batch::NoMoves;
}

void MachineRecordWriter::addChanges(TransactionBuilder& transaction, GroupChanges& changes, Batch batch,
                                     Epoch token, Time now) {
  auto writesBefore = transaction.writes();
  auto batchSize = store_.backgroundBatchSize();
  for (auto& [key, change] : changes) {
    if (transaction.writes() > writesBefore && transaction.writes() >= batchSize) break;
    auto batchOfChange = change.movedToShard.empty() ? Batch::NoMoves : Batch::Moves;
    if (batchOfChange != batch) continue;
    if (groupSplits_.recentlySplit(key, now)) continue;
    if (!addGroupChange(transaction, key, change, token)) break;
  }
}

// If the moves of a group go to more shards than fit into the transaction, only those to the first shards are
// included.
bool MachineRecordWriter::addGroupChange(TransactionBuilder& transaction, const std::string& key,
                                         GroupChange& change, Epoch token) {
  auto add = [&] {
    auto rewrite = rewriteOf(key, change, token);
    return groupSplits_.add(transaction, key, view_.groupVersion(key), rewrite, runtime_.now());
  };
  while (!add()) {
    if (change.movedToShard.size() <= 1) return false;
    change.movedToShard.erase(std::prev(change.movedToShard.end()));
  }
  return true;
}

MachineGroupRewrite MachineRecordWriter::rewriteOf(const std::string& key, const GroupChange& change,
                                                   Epoch token) const {
  auto group = view_.group(key);
  if (group.members.empty()) return {};
  auto exists = [&](const std::string& other) { return view_.groups.count(other) > 0; };
  std::vector<ConditionalWrite> created;
  for (const auto& [to, machines] : change.movedToShard) {
    auto parts = groupCreationWrites(movedGroup(group, to, machines, token), settings_.maxValueBytes, exists);
    created.insert(created.end(), parts.begin(), parts.end());
  }
  updateMembers(group, change);
  // A move uses one write of the transaction for the epoch counter.
  auto rewrite = rewriteGroup(key, view_.groupVersion(key), group, settings_.maxValueBytes,
                              settings_.txnOps - 1, exists);
  if (!rewrite.splits) rewrite.writes.insert(rewrite.writes.end(), created.begin(), created.end());
  return rewrite;
}

wire::MachineGroupRecord MachineRecordWriter::movedGroup(const wire::MachineGroupRecord& group, ShardId to,
                                                         const std::vector<const Machine*>& machines,
                                                         Epoch token) const {
  auto moved = group;
  moved.shard = to;
  moved.token = token;
  moved.members.clear();
  for (const Machine* machine : machines)
    moved.members.push_back({machine->id, wire::MachinePhase::InUse, machine->address});
  return moved;
}

void MachineRecordWriter::updateMembers(wire::MachineGroupRecord& group, const GroupChange& change) const {
  std::set<MachineId> moved;
  for (const auto& [_, machines] : change.movedToShard)
    for (const Machine* machine : machines) moved.insert(machine->id);
  std::erase_if(group.members, [&](const auto& member) { return moved.count(member.id) > 0; });
  for (auto& member : group.members) {
    if (change.returned.count(member.id) > 0) member.phase = wire::MachinePhase::Returning;
    auto machine = state_.machines().find(member.id);
    if (machine != state_.machines().end() && !machine->second.address.empty())
      member.address = machine->second.address;
  }
}

void MachineRecordWriter::handleWriteResult(const TransactionResult& result) {
  writeInFlight_ = false;
  nextWriteNotBefore_ = runtime_.now() + kViewUpdateDelay;
  auto shardKey = keys::shard(takeover_.shard);
  if (std::count(result.conflictingKeys.begin(), result.conflictingKeys.end(), shardKey) > 0) shardLost_();
}

}  // namespace cherryloft
