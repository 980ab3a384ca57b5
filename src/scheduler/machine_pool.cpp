#include "scheduler/machine_pool.h"

#include "scheduler/shard_state.h"

namespace cherryloft {

bool MachinePool::hasCapacity(const Resources& each, unsigned mostExamined,
                              const std::function<bool(const Machine&)>& allows) const {
  unsigned examined = 0;
  for (auto at = withFreeCores(each.cores); at != byFreeCores.end() && examined < mostExamined; ++at) {
    const Machine& machine = *at->second;
    if (each.fitsIn(machine.free()) && allows(machine)) return true;
    ++examined;
  }
  return false;
}

}  // namespace cherryloft
