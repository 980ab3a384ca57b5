// MachineRecords: creates the records of machines that were provisioned or adopted.
#pragma once

#include <deque>
#include <functional>
#include <set>

#include "autoscaler/autoscaler_context.h"

namespace cherryloft {

// Groups are created one transaction after the other, each once the one before is in view.
class MachineRecords {
 public:
  // Whether a machine was returned already, and must not be recorded again.
  using WasReturned = std::function<bool(const MachineId&)>;

  MachineRecords(const AutoscalerContext& context, WasReturned wasReturned)
      : context_(context), wasReturned_(std::move(wasReturned)) {}
  // A new leadership begins: forgets what was on its way and looks at what there is.
  void restart();
  // Whether all that former leaders recorded, and we did, is in view.
  bool current() const { return current_; }
  // Whether a record of the machine is on its way.
  bool pending(const MachineId& id) const { return pending_.count(id) > 0; }
  void markPending(const MachineId& id) { pending_.insert(id); }
  // Creates records of all members, in as many groups as they need.
  void create(const wire::MachineGroupRecord& machines);

 private:
  void waitUntilCurrent();
  void caughtUp(CatchUp result);
  void sendNext();
  void dropKnown(wire::MachineGroupRecord& group);
  void send(const wire::Transaction& transaction);
  void sent(const wire::Transaction& transaction, const TransactionResult& result);

  const AutoscalerContext& context_;
  WasReturned wasReturned_;
  bool current_ = false;
  std::deque<wire::MachineGroupRecord> waiting_;
  std::set<MachineId> sent_;     // machines of groups on their way, until what became of them is in view
  std::set<MachineId> pending_;  // these, and those that wait for their turn
};

}  // namespace cherryloft
