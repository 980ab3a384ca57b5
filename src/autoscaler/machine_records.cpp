#include "autoscaler/machine_records.h"

#include <algorithm>

namespace cherryloft {
namespace {

constexpr Duration kCatchUpAgain{300};
constexpr Duration kSendDeadline{3'000};
constexpr Duration kSendAgain{200};

}  // namespace

void MachineRecords::restart() {
  current_ = false;
  waiting_.clear();
  sent_.clear();
  pending_.clear();
  waitUntilCurrent();
}

// What former leaders recorded must be in view before anything is recorded anew: their writes fail from our
// epoch on, so a look after it sees all of them. The same goes for what we recorded ourselves.
void MachineRecords::waitUntilCurrent() {
  auto seen = [this, since = context_.leadership.since](CatchUp result) {
    if (context_.leadership.continues(since)) caughtUp(result);
  };
  context_.store.waitUntilCurrent(keys::kShards, [this, seen](CatchUp result) {
    if (result != CatchUp::Current) return seen(result);
    context_.store.waitUntilCurrent(keys::kMachines, seen);
  });
}

void MachineRecords::caughtUp(CatchUp result) {
  if (result != CatchUp::Current) {
    context_.runtime.after(kCatchUpAgain, [this, since = context_.leadership.since] {
      if (since == context_.leadership.since) waitUntilCurrent();
    });
    return;
  }
  current_ = true;
  // Recorded, and then in view; or not, and then the machine list names them again.
  for (const auto& id : std::exchange(sent_, {})) pending_.erase(id);
  sendNext();
}

void MachineRecords::create(const wire::MachineGroupRecord& machines) {
  if (!context_.leadership.active || !context_.clusterView.leader) return;
  auto most = wire::maxGroupMembers(context_.settings.maxValueBytes);
  for (std::size_t from = 0; from < machines.members.size(); from += most) {
    auto to = std::min(from + most, machines.members.size());
    wire::MachineGroupRecord group = machines;
    group.members.assign(machines.members.begin() + static_cast<std::ptrdiff_t>(from),
                         machines.members.begin() + static_cast<std::ptrdiff_t>(to));
    for (const auto& member : group.members) markPending(member.id);
    waiting_.push_back(std::move(group));
  }
  sendNext();
}

// That a group's key is absent does not tell a late transaction that it was never there: so all write one key
// conditioned on its version, and none is carried out after a newer one. It could put machines into two
// groups, or bring back what was returned.
void MachineRecords::sendNext() {
  const auto& leader = context_.clusterView.leader;
  if (!context_.leadership.active || !leader || !current_ || !sent_.empty()) return;
  const auto& settings = context_.settings;
  wire::Transaction transaction;
  transaction.conditions[keys::kLeader] = leader->version;
  transaction.conditions[keys::kGroups] = context_.clusterView.groupsVersion;
  transaction.operations.push_back({keys::kGroups, wire::encodeEpochCounter(leader->record.epoch), {}});
  std::size_t weight = 0;
  while (
      !waiting_.empty() && transaction.operations.size() < settings.txnOps &&
      (transaction.operations.size() == 1 || weight + settings.maxValueBytes <= wire::kMaxTransactionBytes)) {
    auto group = std::move(waiting_.front());
    waiting_.pop_front();
    dropKnown(group);
    if (group.members.empty()) continue;
    auto key = keys::group(group.members.front().id, leader->record.epoch);
    wire::Write write{key, wire::encodeMachineGroup(group), {}};
    weight += wire::estimatedBytes(write);
    transaction.conditions[key] = Version{0};
    transaction.operations.push_back(std::move(write));
  }
  if (transaction.operations.size() > 1) send(transaction);
}

// Leaves the machines that have no record yet, and notes them as sent.
void MachineRecords::dropKnown(wire::MachineGroupRecord& group) {
  std::erase_if(group.members, [&](const auto& member) {
    bool known = context_.clusterView.machines.count(member.id) > 0 || wasReturned_(member.id);
    if (known) pending_.erase(member.id);
    return known || !sent_.insert(member.id).second;
  });
}

void MachineRecords::send(const wire::Transaction& transaction) {
  auto done = [this, transaction, since = context_.leadership.since](const TransactionResult& result) {
    if (context_.leadership.continues(since)) sent(transaction, result);
  };
  context_.store.transact(RequestPriority::Control, transaction, kSendDeadline, std::move(done));
}

// After no answer the same again: either it is done now, or the conflict tells that it was or never will be.
void MachineRecords::sent(const wire::Transaction& transaction, const TransactionResult& result) {
  using Outcome = TransactionResult::Outcome;
  if (result.outcome == Outcome::Unknown || result.outcome == Outcome::Refused) {
    context_.runtime.after(kSendAgain, [this, transaction, since = context_.leadership.since] {
      if (context_.leadership.continues(since)) send(transaction);
    });
    return;
  }
  current_ = false;
  waitUntilCurrent();
}

}  // namespace cherryloft
