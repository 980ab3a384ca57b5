#include "cluster/epoch_allocator.h"

#include <utility>

namespace cherryloft {
namespace {

// Half the default lease TTL; after that the records are read to find out what was written.
constexpr Duration kOwnershipChangeDeadline{1'500};

EpochAllocation::Outcome outcomeOf(const TransactionResult& result) {
  switch (result.outcome) {
    case TransactionResult::Outcome::Committed:
      return EpochAllocation::Outcome::Allocated;
    case TransactionResult::Outcome::Conflict:
    case TransactionResult::Outcome::Refused:
      return EpochAllocation::Outcome::Refused;
    // LeaseExpired and TooLarge are not expected for this small transaction without a lease, so the outcome
    // is treated as unknown.
    case TransactionResult::Outcome::LeaseExpired:
    case TransactionResult::Outcome::TooLarge:
    case TransactionResult::Outcome::Unknown:
      break;
  }
  return EpochAllocation::Outcome::InDoubt;
}

}  // namespace

OwnershipChange makeTakeover(const ControllerId& newOwner, const std::string& key, const OwnerEntry* former) {
  if (former == nullptr) return {key, Version{0}, newOwner, std::nullopt};
  if (former->record.owner == newOwner) return {key, former->version, newOwner, std::nullopt};
  return {key, former->version, newOwner, ControllerCondition{former->record.owner, Version{0}}};
}

EpochAllocator::EpochAllocator(const Settings& settings, KeyValueStore& store, const ClusterView& view,
                               const ControllerLease& lease, std::function<void()> onViewRefreshed)
    : settings_(settings),
      store_(store),
      view_(view),
      lease_(lease),
      onViewRefreshed_(std::move(onViewRefreshed)) {}

void EpochAllocator::allocate(const OwnershipChange& change,
                              std::function<void(const EpochAllocation&)> done) {
  Epoch next{view_.epoch.value + 1};
  phase_ = Phase::Busy;
  store_.transact(RequestPriority::Control, transactionFor(change, next), kOwnershipChangeDeadline,
                  [this, next, done = std::move(done)](const TransactionResult& result) {
                    done({outcomeOf(result), next, result.revision});
                    refreshShards();
                  });
}

wire::Transaction EpochAllocator::transactionFor(const OwnershipChange& change, Epoch next) const {
  wire::Transaction transaction;
  transaction.conditions[change.key] = change.version;
  transaction.conditions[keys::kEpoch] = view_.epochVersion;
  transaction.conditions[keys::controller(settings_.controller)] = lease_.joinVersion();
  if (change.otherController)
    transaction.conditions[keys::controller(change.otherController->controller)] =
        change.otherController->version;
  transaction.operations.push_back({change.key, wire::encodeOwnerRecord({change.newOwner, next}), {}});
  transaction.operations.push_back({keys::kEpoch, wire::encodeEpochCounter(next), {}});
  return transaction;
}

void EpochAllocator::refreshView() {
  if (busy()) return;
  phase_ = Phase::Busy;
  refreshShards();
}

void EpochAllocator::refreshShards() {
  store_.waitUntilCurrent(keys::kShards, [this](CatchUpResult) { refreshControllers(); });
}

void EpochAllocator::refreshControllers() {
  store_.waitUntilCurrent(keys::kControllers, [this](CatchUpResult result) { handleViewRefreshed(result); });
}

void EpochAllocator::handleViewRefreshed(CatchUpResult result) {
  phase_ = Phase::Idle;
  if (result == CatchUpResult::Current) onViewRefreshed_();
}

}  // namespace cherryloft
