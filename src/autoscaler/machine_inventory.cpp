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

void MachineList::refresh(CallBudget& calls) {
  bool due = askedAt_ == Time{} || context_.io.now() - askedAt_ >= kRefreshEvery;
  if (!fetching_ && due && calls.tryTake()) fetchFrom("", std::make_shared<Hosts>());
}

void MachineList::fetchFrom(const std::string& since, const std::shared_ptr<Hosts>& hosts) {
  fetching_ = true;
  askedAt_ = context_.io.now();
  std::string path = "/hosts?limit=500";
  if (!since.empty()) path += "&since=" + since;
  context_.callCloud({"GET", path, "", false}, [this, hosts](const HttpResult& result) {
    auto page = result.answered(200) ? wire::parseHosts(result.response.body) : std::nullopt;
    if (!page) {
      fetching_ = false;
      return;
    }
    bool more = page->truncated && !page->hosts.empty();
    std::move(page->hosts.begin(), page->hosts.end(), std::back_inserter(*hosts));
    if (more) return fetchFrom(hosts->back().id.value, hosts);
    fetching_ = false;
    if (context_.leadership.active) fetched(*hosts);
  });
}

void MachineList::fetched(const Hosts& hosts) {
  listedAt_ = askedAt_;
  for (const auto& host : hosts) {
    seen_.try_emplace(host.id, Seen{askedAt_, askedAt_}).first->second.last = askedAt_;
    if (context_.directory.hosts.count(host.id) == 0)
      reviewUnrecorded(host);
    else
      reviewRecorded(host);
  }
}

// Rented by a leader that did not live to note it, or there from the start.
void MachineList::reviewUnrecorded(const wire::ListedHost& host) {
  bool settled = context_.io.now() - context_.leadership.since >= kSettle;
  if (host.state == wire::ListedHost::State::Failed || returns_.returned(host.id) || !settled) return;
  adoption_.adopt(host.id, {ShareNo{}, Epoch{}, wire::HostPhase::InUse, host.type, host.zone, host.spot,
                            host.address, context_.io.wall()});
}

void MachineList::reviewRecorded(const wire::ListedHost& host) {
  const auto& record = context_.directory.hosts.at(host.id).record;
  if (record.phase == wire::HostPhase::Returning) return;
  if (host.state == wire::ListedHost::State::Failed) returns_.request(host.id, "failed");
  const auto* type = findType(catalog_.prices(), host.type);
  bool starting = host.state == wire::ListedHost::State::Starting;
  if (starting && type && host.heldS > kNeverUp * type->bootS + kNeverUpPlusS)
    returns_.request(host.id, "never came up");
}

void MachineList::reviewRecords() {
  reviewNoLongerListed();
  if (listedAt_ >= context_.leadership.since) reviewNeverListed();
}

// Records of machines that the list once named and now lacks. A list is at most twice the lag old, and a
// machine once listed stays listed until it is gone: one that was listed for longer than that is gone for
// sure, and of the others one waits until no list can be older than the first that named it.
void MachineList::reviewNoLongerListed() {
  auto now = context_.io.now();
  double lagS = context_.settings.listLagS;
  const auto& hosts = context_.directory.hosts;
  for (auto it = seen_.begin(); it != seen_.end();) {
    const auto& [id, seen] = *it;
    auto known = hosts.find(id);
    if (known == hosts.end() && now - seen.last > seconds(4 * lagS)) {
      it = seen_.erase(it);
      continue;
    }
    bool gone = seen.last < listedAt_ && listedAt_ - seen.first > seconds(2 * lagS + 2);
    if (known != hosts.end() && gone && known->second.record.phase != wire::HostPhase::Returning)
      returns_.request(id, "not listed any more");
    ++it;
  }
}

// Records of machines that were gone before any list named them.
void MachineList::reviewNeverListed() {
  auto listAgeS = inSeconds(context_.io.now() - listedAt_);
  for (const auto& [id, host] : context_.directory.hosts) {
    if (host.record.phase != wire::HostPhase::InUse || seen_.count(id) > 0) continue;
    auto ageMs = context_.io.wall().value - host.record.since.value;
    double ageAtListS = static_cast<double>(ageMs) / kMsPerSecond - listAgeS;
    if (ageAtListS > 4 * context_.settings.listLagS + kNeverListedPlusS)
      returns_.request(id, "was never listed");
  }
}

}  // namespace cherryloft
