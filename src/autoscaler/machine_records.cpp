#include "autoscaler/machine_records.h"

#include <algorithm>

namespace cherryloft {
namespace {

constexpr Duration kCatchUpRetryDelay{300};
constexpr Duration kSendTimeout{3'000};
constexpr Duration kSendRetryDelay{200};

}  // namespace

void MachineRecords::reset() {
  viewCurrent_ = false;
  queue_.clear();
  inFlight_.clear();
  pending_.clear();
  waitUntilCurrent();
}

// Everything that former leaders recorded must be visible before we record anything: their writes fail once
// our epoch is in effect, so a read after that sees all of them. The same applies to our own earlier records.
void MachineRecords::waitUntilCurrent() {
  auto onCaughtUp = [this, since = context_.leadership.since](CatchUpResult result) {
    if (context_.leadership.isCurrentTerm(since)) handleCatchUp(result);
  };
  context_.store.waitUntilCurrent(keys::kShards, [this, onCaughtUp](CatchUpResult result) {
    if (result != CatchUpResult::Current) return onCaughtUp(result);
    // The groups up to this version are visible once the machines have caught up as well. The view may show a
    // later version, by a delayed transaction, before the groups that it created.
    visibleGroupsVersion_ = context_.clusterView.groupsVersion;
    context_.store.waitUntilCurrent(keys::kMachines, onCaughtUp);
  });
}

void MachineRecords::handleCatchUp(CatchUpResult result) {
  if (result != CatchUpResult::Current) {
    context_.runtime.after(kCatchUpRetryDelay, [this, since = context_.leadership.since] {
      if (since == context_.leadership.since) waitUntilCurrent();
    });
    return;
  }
  viewCurrent_ = true;
  // Machines that were recorded are now visible; those that were not appear again in the cloud's machine
  // list.
  for (const auto& id : std::exchange(inFlight_, {})) pending_.erase(id);
  sendNext();
}

void MachineRecords::create(const wire::MachineGroupRecord& machines) {
  if (!context_.leadership.active || !context_.clusterView.leader) return;
  auto maxMembers = wire::maxGroupMembers(context_.settings.maxValueBytes);
  for (std::size_t from = 0; from < machines.members.size(); from += maxMembers) {
    auto to = std::min(from + maxMembers, machines.members.size());
    wire::MachineGroupRecord group = machines;
    group.members.assign(machines.members.begin() + static_cast<std::ptrdiff_t>(from),
                         machines.members.begin() + static_cast<std::ptrdiff_t>(to));
    for (const auto& member : group.members) markPending(member.id);
    queue_.push_back(std::move(group));
  }
  sendNext();
}

// The absence of a group's key does not prove to a delayed transaction that the group never existed. So every
// transaction also writes one common key on condition of its version, and none commits after a newer one.
// Otherwise a delayed one could put machines into two groups or recreate the records of returned machines.
void MachineRecords::sendNext() {
  const auto& leader = context_.clusterView.leader;
  if (!context_.leadership.active || !leader || !viewCurrent_ || !inFlight_.empty()) return;
  const auto& settings = context_.settings;
  wire::Transaction transaction;
  transaction.conditions[keys::kLeader] = leader->version;
  transaction.conditions[keys::kGroups] = visibleGroupsVersion_;
  transaction.operations.push_back({keys::kGroups, wire::encodeEpochCounter(leader->record.epoch), {}});
  std::size_t estimatedBytes = 0;
  while (!queue_.empty() && transaction.operations.size() < settings.txnOps &&
         (transaction.operations.size() == 1 ||
          estimatedBytes + settings.maxValueBytes <= wire::kMaxTransactionBytes)) {
    auto group = std::move(queue_.front());
    queue_.pop_front();
    removeRecorded(group);
    if (group.members.empty()) continue;
    auto key = keys::group(group.members.front().id, leader->record.epoch);
    wire::Write write{key, wire::encodeMachineGroup(group), {}};
    estimatedBytes += wire::estimatedBytes(write);
    transaction.conditions[key] = Version{0};
    transaction.operations.push_back(std::move(write));
  }
  if (transaction.operations.size() > 1) send(transaction);
}

// Removes the members that are already recorded or were returned, and marks the others as in flight.
void MachineRecords::removeRecorded(wire::MachineGroupRecord& group) {
  std::erase_if(group.members, [&](const auto& member) {
    bool recorded = context_.clusterView.machines.count(member.id) > 0 || wasReturned_(member.id);
    if (recorded) pending_.erase(member.id);
    return recorded || !inFlight_.insert(member.id).second;
  });
}

void MachineRecords::send(const wire::Transaction& transaction) {
  auto done = [this, transaction, since = context_.leadership.since](const TransactionResult& result) {
    if (context_.leadership.isCurrentTerm(since)) handleResult(transaction, result);
  };
  context_.store.transact(RequestPriority::Control, transaction, kSendTimeout, std::move(done));
}

// Without an answer the same transaction is repeated: it either commits now, or its conflict shows that it
// committed before or never will.
void MachineRecords::handleResult(const wire::Transaction& transaction, const TransactionResult& result) {
  using Outcome = TransactionResult::Outcome;
  if (result.outcome == Outcome::Unknown || result.outcome == Outcome::Refused) {
    context_.runtime.after(kSendRetryDelay, [this, transaction, since = context_.leadership.since] {
      if (context_.leadership.isCurrentTerm(since)) send(transaction);
    });
    return;
  }
  viewCurrent_ = false;
  waitUntilCurrent();
}

}  // namespace cherryloft
