#include "autoscaler/scale_in.h"

#include <map>

#include "wire/cloud.h"

namespace cherryloft {
namespace {

constexpr std::size_t kMaxReturnsPerCall = 100;
constexpr Duration kRewriteTimeout{4'000};

}  // namespace

void ScaleIn::requestReturn(const MachineId& id, const char* reason) {
  if (context_.clusterView.machines.count(id) == 0 || !pendingMarks_.insert(id).second) return;
  context_.log->info("machine to be returned: machine={} reason=\"{}\"", id.value, reason);
}

void ScaleIn::markRequested() {
  const auto& machines = context_.clusterView.machines;
  std::erase_if(pendingMarks_, [&](const MachineId& id) {
    auto machine = machines.find(id);
    return machine == machines.end() || machine->second.record.phase == wire::MachinePhase::Returning;
  });
  if (pendingMarks_.empty() || markInFlight_ || !context_.clusterView.leader) return;
  markInFlight_ = true;
  auto written = rewrite(pendingMarks_, Change::MarkReturning,
                         [this](const TransactionResult&) { markInFlight_ = false; });
  if (written.empty()) markInFlight_ = false;
}

// The record is deleted only after the cloud confirmed the return: its absence proves that nothing runs on
// the machine any more.
void ScaleIn::returnMarked(CloudCallBudget& budget) {
  if (returnInFlight_ || !budget.tryConsume()) return;
  auto machines = markedMachines();
  if (machines.empty() || !context_.clusterView.leader) return budget.refund();
  returnInFlight_ = true;
  context_.callCloud({"POST", "/hosts/return", wire::encodeReturnRequest(machines), false},
                     [this, machines](const HttpResult& result) { handleReturnResult(machines, result); });
}

// At most as many machines as fit into one call, from at most as many groups as fit into one transaction.
std::vector<MachineId> ScaleIn::markedMachines() const {
  std::vector<MachineId> machines;
  std::set<std::string> groups;
  for (const auto& [id, machine] : context_.clusterView.machines) {
    if (machine.record.phase != wire::MachinePhase::Returning || machines.size() >= kMaxReturnsPerCall)
      continue;
    if (groups.count(machine.group) == 0 && groups.size() >= context_.settings.txnOps) continue;
    groups.insert(machine.group);
    machines.push_back(id);
  }
  return machines;
}

void ScaleIn::handleReturnResult(const std::vector<MachineId>& machines, const HttpResult& result) {
  returnInFlight_ = result.answered(200) && context_.leadership.active && context_.clusterView.leader;
  if (!returnInFlight_) return;
  for (const auto& id : machines) recordReturned(id);
  auto written = rewrite({machines.begin(), machines.end()}, Change::DeleteRecord,
                         [this](const TransactionResult&) { returnInFlight_ = false; });
  if (written.empty()) returnInFlight_ = false;
}

void ScaleIn::recordReturned(const MachineId& id) {
  context_.log->info("machine returned: machine={}", id.value);
  auto recorded = context_.clusterView.machines.find(id);
  if (recorded != context_.clusterView.machines.end()) {
    const auto& record = recorded->second.record;
    capacityFreed_({record.type, record.zone, record.spot});
  }
  returned_.insert(id);
}

// Rewrites machine groups with a change to some of their members, as many groups as fit into one transaction.
// Returns the machines that were changed.
std::vector<MachineId> ScaleIn::rewrite(const std::set<MachineId>& ids, Change change,
                                        std::function<void(const TransactionResult&)> done) {
  const auto& clusterView = context_.clusterView;
  std::map<std::string, std::set<MachineId>> byGroup;
  for (const auto& id : ids)
    if (auto machine = clusterView.machines.find(id); machine != clusterView.machines.end())
      byGroup[machine->second.group].insert(id);
  TransactionBuilder transaction(context_.settings.txnOps);
  std::vector<MachineId> written;
  transaction.addCondition(keys::kLeader, clusterView.leader->version);
  auto exists = [&](const std::string& key) { return clusterView.groups.count(key) > 0; };
  // Deleting records lets the tasks of these machines be rescheduled, so it has priority; marking can wait.
  auto maxWrites =
      change == Change::DeleteRecord ? context_.settings.txnOps : context_.store.backgroundBatchSize();
  for (const auto& [key, changed] : byGroup) {
    if (transaction.writes() >= maxWrites) break;
    if (splits_.recentlySplit(key, context_.runtime.now())) continue;
    auto group = clusterView.group(key);
    if (group.members.empty()) continue;
    auto version = clusterView.groupVersion(key);
    applyChange(group, changed, change);
    auto rewrite = rewriteGroup(key, version, group, context_.settings.maxValueBytes, maxWrites, exists);
    if (transaction.writes() + rewrite.writes.size() > maxWrites) break;
    if (!splits_.add(transaction, key, version, rewrite, context_.runtime.now())) break;
    if (rewrite.splits) continue;
    written.insert(written.end(), changed.begin(), changed.end());
  }
  if (transaction.empty()) return {};
  // Queued at the same priority as the commits of our own shard: with a higher one, returning machines by the
  // hundreds would use up the whole write limit.
  context_.store.transact(RequestPriority::Commit, transaction.take(), kRewriteTimeout, std::move(done));
  return written;
}

void ScaleIn::applyChange(wire::MachineGroupRecord& group, const std::set<MachineId>& changed,
                          Change change) {
  auto isChanged = [&](const auto& member) { return changed.count(member.id) > 0; };
  if (change == Change::DeleteRecord) {
    std::erase_if(group.members, isChanged);
    return;
  }
  for (auto& member : group.members)
    if (isChanged(member)) member.phase = wire::MachinePhase::Returning;
}

}  // namespace cherryloft
