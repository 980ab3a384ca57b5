// ScaleIn: marks machines that are to go in their records, returns them to the cloud and then drops
// the records.
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
  // There is a machine of that offer to be had again.
  using Freed = std::function<void(const policy::InstanceOffering&)>;

  ScaleIn(const AutoscalerContext& context, Freed freed) : context_(context), freed_(std::move(freed)) {}
  // A new leadership begins.
  void restart() { toMark_.clear(); }
  // The machine is to be returned, for that reason.
  void request(const MachineId& id, const char* why);
  // Whether this controller gave the machine back to the cloud.
  bool returned(const MachineId& id) const { return returned_.count(id) > 0; }
  // Writes down what was requested.
  void markRequested();
  // Gives marked machines back to the cloud if the budget has a call left.
  void returnMarked(CallBudget& calls);

 private:
  enum class Change : std::uint8_t { Mark, Drop };
  std::vector<MachineId> markedMachines() const;
  void answered(const std::vector<MachineId>& machines, const HttpResult& result);
  void noteReturned(const MachineId& id);
  std::vector<MachineId> rewrite(const std::set<MachineId>& ids, Change change,
                                 std::function<void(const TransactionResult&)> done);
  static void applyChange(wire::MachineGroupRecord& group, const std::set<MachineId>& changed, Change change);

  const AutoscalerContext& context_;
  Freed freed_;
  std::set<MachineId> toMark_;
  bool marking_ = false;
  std::set<MachineId> returned_;
  bool returning_ = false;
  MachineGroupSplits splits_;
};

}  // namespace cherryloft
