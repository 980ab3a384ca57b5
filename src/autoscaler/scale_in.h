// ScaleIn: marks machines to be returned in their records, returns them to the cloud and then deletes the
// records.
#pragma once

#include <functional>
#include <set>
#include <vector>

#include "autoscaler/autoscaler_context.h"
#include "cluster/machine_group_rewrite.h"
#include "policy/autoscaling.h"

namespace cherryloft {

class ScaleIn {
 public:
  // Called when a returned machine makes its offering available again.
  using CapacityFreed = std::function<void(const policy::InstanceOffering&)>;

  ScaleIn(const AutoscalerContext& context, CapacityFreed capacityFreed)
      : context_(context), capacityFreed_(std::move(capacityFreed)) {}
  // Called when a new leadership term begins.
  void reset() { pendingMarks_.clear(); }
  // Requests that the machine is returned; the reason is logged.
  void requestReturn(const MachineId& id, const char* reason);
  // Whether this controller returned the machine to the cloud.
  bool wasReturned(const MachineId& id) const { return returned_.count(id) > 0; }
  // Marks the requested machines as returning in their records.
  void markRequested();
  // Returns marked machines to the cloud if the budget has a call left.
  void returnMarked(CloudCallBudget& budget);

 private:
  enum class Change : std::uint8_t { MarkReturning, DeleteRecord };
  std::vector<MachineId> markedMachines() const;
  void handleReturnResult(const std::vector<MachineId>& machines, const HttpResult& result);
  void recordReturned(const MachineId& id);
  std::vector<MachineId> rewrite(const std::set<MachineId>& ids, Change change,
                                 std::function<void(const TransactionResult&)> done);
  static void applyChange(wire::MachineGroupRecord& group, const std::set<MachineId>& changed, Change change);

  const AutoscalerContext& context_;
  CapacityFreed capacityFreed_;
  std::set<MachineId> pendingMarks_;
  bool markInFlight_ = false;
  std::set<MachineId> returned_;
  bool returnInFlight_ = false;
  MachineGroupSplits splits_;
};

}  // namespace cherryloft
