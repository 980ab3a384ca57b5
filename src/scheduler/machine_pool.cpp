#include "scheduler/machine_pool.h"

#include "scheduler/shard_state.h"

namespace cherryloft {

bool MachinePool::hasCapacity(const Resources& each, unsigned maxExamined,
                              const std::function<bool(const Machine&)>& allows) const {
  unsigned examined = 0;
  for (auto candidate = withFreeCores(each.cores); candidate != byFreeCores.end() && examined < maxExamined;
       ++candidate) {
    const Machine& machine = *candidate->second;
    if (each.fitsIn(machine.free()) && allows(machine)) return true;
    ++examined;
  }
  return false;
}

}  // namespace cherryloft
