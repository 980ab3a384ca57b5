// MachineRecords: creates the records of machines that were provisioned or adopted.
#pragma once

#include <deque>
#include <functional>
#include <set>

#include "autoscaler/autoscaler_context.h"

namespace cherryloft {

// Groups are created by one transaction at a time; the next is sent once the result of the previous one is
// visible in the cluster view.
class MachineRecords {
 public:
  // Whether a machine was already returned to the cloud and must not be recorded again.
  using WasReturned = std::function<bool(const MachineId&)>;

  MachineRecords(const AutoscalerContext& context, WasReturned wasReturned)
      : context_(context), wasReturned_(std::move(wasReturned)) {}
  // Called when a new leadership term begins: discards requests in flight and waits for the view to catch up.
  void reset();
  // Whether the view contains everything that former leaders and this controller recorded.
  bool viewIsCurrent() const { return viewCurrent_; }
  // Whether the creation of the machine's record is queued or in flight.
  bool isPending(const MachineId& id) const { return pending_.count(id) > 0; }
  void markPending(const MachineId& id) { pending_.insert(id); }
  // Creates the records of all members, split into as many groups as needed.
  void create(const wire::MachineGroupRecord& machines);

 private:
  void waitUntilCurrent();
  void handleCatchUp(CatchUpResult result);
  void sendNext();
  void removeRecorded(wire::MachineGroupRecord& group);
  void send(const wire::Transaction& transaction);
  void handleResult(const wire::Transaction& transaction, const TransactionResult& result);

  const AutoscalerContext& context_;
  WasReturned wasReturned_;
  bool viewCurrent_ = false;
  Version visibleGroupsVersion_;  // the view shows every group created up to this version
  std::deque<wire::MachineGroupRecord> queue_;
  std::set<MachineId> inFlight_;  // machines of the groups sent, until the outcome is visible in the view
  std::set<MachineId> pending_;   // those in flight and those still queued
};

}  // namespace cherryloft
