#include "autoscaler/machine_inventory.h"

#include <algorithm>
#include <iterator>

namespace cherryloft {
namespace {

constexpr Duration kRefreshEvery{2'500};
constexpr double kNeverUp = 3.0;  // boot times after which a starting machine is given up
constexpr double kNeverUpPlusS = 20;
constexpr double kNeverListedPlusS = 10;
constexpr double kMsPerSecond = 1000;

}  // namespace

void MachineInventory::refresh(CallBudget& calls) {
  bool due = askedAt_ == Time{} || context_.runtime.now() - askedAt_ >= kRefreshEvery;
  if (!fetching_ && due && calls.tryTake()) fetchFrom("", std::make_shared<Machines>());
}

void MachineInventory::fetchFrom(const std::string& since, const std::shared_ptr<Machines>& machines) {
  fetching_ = true;
  askedAt_ = context_.runtime.now();
  std::string path = "/hosts?limit=500";
  if (!since.empty()) path += "&since=" + since;
  context_.callCloud({"GET", path, "", false}, [this, machines](const HttpResult& result) {
    auto page = result.answered(200) ? wire::parseMachines(result.response.body) : std::nullopt;
    if (!page) {
      fetching_ = false;
      return;
    }
    bool more = page->truncated && !page->machines.empty();
    std::move(page->machines.begin(), page->machines.end(), std::back_inserter(*machines));
    if (more) return fetchFrom(machines->back().id.value, machines);
    fetching_ = false;
    if (context_.leadership.active) fetched(*machines);
  });
}

void MachineInventory::fetched(const Machines& machines) {
  listedAt_ = askedAt_;
  for (const auto& machine : machines) {
    seen_.try_emplace(machine.id, Seen{askedAt_, askedAt_}).first->second.last = askedAt_;
    if (context_.clusterView.machines.count(machine.id) == 0)
      reviewUnrecorded(machine);
    else
      reviewRecorded(machine);
  }
}

// Rented by a leader that did not live to note it, or there from the start.
void MachineInventory::reviewUnrecorded(const wire::ListedMachine& machine) {
  bool settled = context_.runtime.now() - context_.leadership.since >= kSettle;
  if (machine.state == wire::ListedMachine::State::Failed || scaleIn_.returned(machine.id) || !settled)
    return;
  adoption_.adopt(machine.id, {ShardId{}, Epoch{}, wire::MachinePhase::InUse, machine.type, machine.zone,
                               machine.spot, machine.address, context_.runtime.wall()});
}

void MachineInventory::reviewRecorded(const wire::ListedMachine& machine) {
  const auto& record = context_.clusterView.machines.at(machine.id).record;
  if (record.phase == wire::MachinePhase::Returning) return;
  if (machine.state == wire::ListedMachine::State::Failed) scaleIn_.request(machine.id, "failed");
  const auto* type = findType(catalog_.prices(), machine.type);
  bool starting = machine.state == wire::ListedMachine::State::Starting;
  if (starting && type && machine.secondsSinceRequest > kNeverUp * type->bootS + kNeverUpPlusS)
    scaleIn_.request(machine.id, "never came up");
}

void MachineInventory::reviewRecords() {
  reviewNoLongerListed();
  if (listedAt_ >= context_.leadership.since) reviewNeverListed();
}

// Records of machines that the list once named and now lacks. A list is at most twice the lag old, and a
// machine once listed stays listed until it is gone: one that was listed for longer than that is gone for
// sure, and of the others one waits until no list can be older than the first that named it.
void MachineInventory::reviewNoLongerListed() {
  auto now = context_.runtime.now();
  double lagS = context_.settings.listLagS;
  const auto& machines = context_.clusterView.machines;
  for (auto it = seen_.begin(); it != seen_.end();) {
    const auto& [id, seen] = *it;
    auto known = machines.find(id);
    if (known == machines.end() && now - seen.last > seconds(4 * lagS)) {
      it = seen_.erase(it);
      continue;
    }
    bool gone = seen.last < listedAt_ && listedAt_ - seen.first > seconds(2 * lagS + 2);
    if (known != machines.end() && gone && known->second.record.phase != wire::MachinePhase::Returning)
      scaleIn_.request(id, "not listed any more");
    ++it;
  }
}

// Records of machines that were gone before any list named them.
void MachineInventory::reviewNeverListed() {
  auto listAgeS = inSeconds(context_.runtime.now() - listedAt_);
  for (const auto& [id, machine] : context_.clusterView.machines) {
    if (machine.record.phase != wire::MachinePhase::InUse || seen_.count(id) > 0) continue;
    auto ageMs = context_.runtime.wall().value - machine.record.since.value;
    double ageAtListS = static_cast<double>(ageMs) / kMsPerSecond - listAgeS;
    if (ageAtListS > 4 * context_.settings.listLagS + kNeverListedPlusS)
      scaleIn_.request(id, "was never listed");
  }
}

}  // namespace cherryloft
