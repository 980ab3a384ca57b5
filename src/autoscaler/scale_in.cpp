#include "autoscaler/scale_in.h"

#include <map>

#include "wire/cloud.h"

namespace cherryloft {
namespace {

constexpr std::size_t kMostReturns = 100;
constexpr Duration kRewriteDeadline{4'000};

}  // namespace

void ScaleIn::request(const MachineId& id, const char* why) {
  if (context_.clusterView.machines.count(id) == 0 || !toMark_.insert(id).second) return;
  context_.log->info("machine to be returned: machine={} reason=\"{}\"", id.value, why);
}

void ScaleIn::markRequested() {
  const auto& machines = context_.clusterView.machines;
  std::erase_if(toMark_, [&](const MachineId& id) {
    auto machine = machines.find(id);
    return machine == machines.end() || machine->second.record.phase == wire::MachinePhase::Returning;
  });
  if (toMark_.empty() || marking_ || !context_.clusterView.leader) return;
  marking_ = true;
  auto written = rewrite(toMark_, Change::Mark, [this](const TransactionResult&) { marking_ = false; });
  if (written.empty()) marking_ = false;
}

// The record goes only after the cloud's word: its absence proves to all that nothing is left on the machine.
void ScaleIn::returnMarked(CallBudget& calls) {
  if (returning_ || !calls.tryTake()) return;
  auto machines = markedMachines();
  if (machines.empty() || !context_.clusterView.leader) return calls.giveBack();
  returning_ = true;
  context_.callCloud({"POST", "/hosts/return", wire::encodeReturnRequest(machines), false},
                     [this, machines](const HttpResult& result) { answered(machines, result); });
}

// As many as one call takes, of as many groups as one transaction takes.
std::vector<MachineId> ScaleIn::markedMachines() const {
  std::vector<MachineId> machines;
  std::set<std::string> groups;
  for (const auto& [id, machine] : context_.clusterView.machines) {
    if (machine.record.phase != wire::MachinePhase::Returning || machines.size() >= kMostReturns) continue;
    if (groups.count(machine.group) == 0 && groups.size() >= context_.settings.txnOps) continue;
    groups.insert(machine.group);
    machines.push_back(id);
  }
  return machines;
}

void ScaleIn::answered(const std::vector<MachineId>& machines, const HttpResult& result) {
  returning_ = result.answered(200) && context_.leadership.active && context_.clusterView.leader;
  if (!returning_) return;
  for (const auto& id : machines) noteReturned(id);
  auto written = rewrite({machines.begin(), machines.end()}, Change::Drop,
                         [this](const TransactionResult&) { returning_ = false; });
  if (written.empty()) returning_ = false;
}

void ScaleIn::noteReturned(const MachineId& id) {
  context_.log->info("machine returned: machine={}", id.value);
  auto known = context_.clusterView.machines.find(id);
  if (known != context_.clusterView.machines.end()) {
    const auto& record = known->second.record;
    freed_({record.type, record.zone, record.spot});
  }
  returned_.insert(id);
}

// Writes machine groups anew with a change to some of their members, as many as one transaction takes.
// Returns the machines that it changed.
std::vector<MachineId> ScaleIn::rewrite(const std::set<MachineId>& ids, Change change,
                                        std::function<void(const TransactionResult&)> done) {
  const auto& clusterView = context_.clusterView;
  std::map<std::string, std::set<MachineId>> byGroup;
  for (const auto& id : ids)
    if (auto machine = clusterView.machines.find(id); machine != clusterView.machines.end())
      byGroup[machine->second.group].insert(id);
  TransactionBuilder transaction(context_.settings.txnOps);
  std::vector<MachineId> written;
  transaction.require(keys::kLeader, clusterView.leader->version);
  auto exists = [&](const std::string& key) { return clusterView.groups.count(key) > 0; };
  // What is dropped frees tasks; what is only marked can wait.
  auto most = change == Change::Drop ? context_.settings.txnOps : context_.store.backgroundBatchSize();
  for (const auto& [key, changed] : byGroup) {
    if (transaction.writes() >= most) break;
    if (splits_.settling(key, context_.runtime.now())) continue;
    auto group = clusterView.group(key);
    if (group.members.empty()) continue;
    auto version = clusterView.groupVersion(key);
    applyChange(group, changed, change);
    auto rewrite = rewriteGroup(key, version, group, context_.settings.maxValueBytes, most, exists);
    if (transaction.writes() + rewrite.writes.size() > most) break;
    if (!splits_.add(transaction, key, version, rewrite, context_.runtime.now())) break;
    if (rewrite.splits) continue;
    written.insert(written.end(), changed.begin(), changed.end());
  }
  if (transaction.empty()) return {};
  // In turn with the commits of our own shard, never before all of them: where machines come and go by the
  // hundreds this alone would take all changes there are.
  context_.store.transact(RequestPriority::Work, transaction.take(), kRewriteDeadline, std::move(done));
  return written;
}

void ScaleIn::applyChange(wire::MachineGroupRecord& group, const std::set<MachineId>& changed,
                          Change change) {
  auto isChanged = [&](const auto& member) { return changed.count(member.id) > 0; };
  if (change == Change::Drop) {
    std::erase_if(group.members, isChanged);
    return;
  }
  for (auto& member : group.members)
    if (isChanged(member)) member.phase = wire::MachinePhase::Returning;
}

}  // namespace cherryloft
