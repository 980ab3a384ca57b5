#include "autoscaler/machine_inventory.h"

#include <algorithm>
#include <iterator>

namespace cherryloft {
namespace {

constexpr Duration kRefreshInterval{2'500};
constexpr double kStartTimeoutBootTimes = 3.0;  // a machine that starts for longer than this is returned
constexpr double kStartTimeoutMarginS = 20;
constexpr double kNeverListedMarginS = 10;
constexpr double kMsPerSecond = 1000;

}  // namespace

void MachineInventory::refresh(CloudCallBudget& budget) {
  bool due = requestedAt_ == Time{} || context_.runtime.now() - requestedAt_ >= kRefreshInterval;
  if (!fetching_ && due && budget.tryConsume()) fetchPage("", std::make_shared<Machines>());
}

void MachineInventory::fetchPage(const std::string& since, const std::shared_ptr<Machines>& machines) {
  fetching_ = true;
  requestedAt_ = context_.runtime.now();
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
    if (more) return fetchPage(machines->back().id.value, machines);
    fetching_ = false;
    if (context_.leadership.active) handleList(*machines);
  });
}

void MachineInventory::handleList(const Machines& machines) {
  latestListRequestedAt_ = requestedAt_;
  for (const auto& machine : machines) {
    listingTimes_.try_emplace(machine.id, ListingTimes{requestedAt_, requestedAt_}).first->second.last =
        requestedAt_;
    if (context_.clusterView.machines.count(machine.id) == 0)
      reconcileUnrecorded(machine);
    else
      reconcileRecorded(machine);
  }
}

// The machine was provisioned by a leader that failed before recording it, or existed from the start.
void MachineInventory::reconcileUnrecorded(const wire::ListedMachine& machine) {
  bool settled = context_.runtime.now() - context_.leadership.since >= kNewLeaderSettleTime;
  if (machine.state == wire::ListedMachine::State::Failed || scaleIn_.wasReturned(machine.id) || !settled)
    return;
  adoption_.adopt(machine.id, {ShardId{}, Epoch{}, wire::MachinePhase::InUse, machine.type, machine.zone,
                               machine.spot, machine.address, context_.runtime.wall()});
}

void MachineInventory::reconcileRecorded(const wire::ListedMachine& machine) {
  const auto& record = context_.clusterView.machines.at(machine.id).record;
  if (record.phase == wire::MachinePhase::Returning) return;
  if (machine.state == wire::ListedMachine::State::Failed) scaleIn_.requestReturn(machine.id, "failed");
  const auto* type = findType(catalog_.machineTypes(), machine.type);
  bool starting = machine.state == wire::ListedMachine::State::Starting;
  if (starting && type &&
      machine.secondsSinceRequest > kStartTimeoutBootTimes * type->bootSeconds + kStartTimeoutMarginS)
    scaleIn_.requestReturn(machine.id, "never came up");
}

void MachineInventory::reconcileRecords() {
  reconcileNoLongerListed();
  if (latestListRequestedAt_ >= context_.leadership.since) reconcileNeverListed();
}

// Handles recorded machines that an earlier list contained and the latest one does not. A list is at most
// twice list_lag_s old, and a listed machine stays listed until it is gone. So a machine is gone for certain
// if it was listed for longer than that; otherwise we wait until no list can be older than the first that
// contained it.
void MachineInventory::reconcileNoLongerListed() {
  auto now = context_.runtime.now();
  double lagS = context_.settings.listLagS;
  const auto& machines = context_.clusterView.machines;
  for (auto it = listingTimes_.begin(); it != listingTimes_.end();) {
    const auto& [id, listed] = *it;
    auto recorded = machines.find(id);
    if (recorded == machines.end() && now - listed.last > seconds(4 * lagS)) {
      it = listingTimes_.erase(it);
      continue;
    }
    bool gone =
        listed.last < latestListRequestedAt_ && latestListRequestedAt_ - listed.first > seconds(2 * lagS + 2);
    if (recorded != machines.end() && gone && recorded->second.record.phase != wire::MachinePhase::Returning)
      scaleIn_.requestReturn(id, "not listed any more");
    ++it;
  }
}

// Handles recorded machines that were gone before any list contained them.
void MachineInventory::reconcileNeverListed() {
  auto listAgeS = toSeconds(context_.runtime.now() - latestListRequestedAt_);
  for (const auto& [id, machine] : context_.clusterView.machines) {
    if (machine.record.phase != wire::MachinePhase::InUse || listingTimes_.count(id) > 0) continue;
    auto ageMs = context_.runtime.wall().value - machine.record.since.value;
    double ageAtListS = static_cast<double>(ageMs) / kMsPerSecond - listAgeS;
    if (ageAtListS > 4 * context_.settings.listLagS + kNeverListedMarginS)
      scaleIn_.requestReturn(id, "was never listed");
  }
}

}  // namespace cherryloft
