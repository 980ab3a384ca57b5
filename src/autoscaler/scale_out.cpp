#include "autoscaler/scale_out.h"

#include <algorithm>

namespace cherryloft {
namespace {

constexpr Duration kInitialBackoff{8'000};
constexpr Duration kMaxBackoff{30'000};
constexpr std::uint64_t kBackoffJitterMs = 1'000;
constexpr std::uint64_t kRetryDelayMs = 500;
constexpr std::uint64_t kRetryJitterMs = 500;

policy::InstanceOffering offeringOf(const wire::ProvisionRequest& request) {
  return {request.type, request.zone, request.spot};
}

bool isOutOfCapacity(const HttpResult& result) {
  return result.answered(503) && result.response.body.find("no capacity") != std::string::npos;
}

}  // namespace

std::string ScaleOut::nextClaim() {
  auto epoch = context_.clusterView.leader->record.epoch;
  return "cl-" + context_.settings.controller.value + "-" + std::to_string(epoch.value) + "-" +
         std::to_string(++claimsIssued_);
}

void ScaleOut::requestMachines(ShardId shard, const policy::ScaleOutRequest& request) {
  const auto& offering = request.offering;
  auto openRequest = std::make_shared<OpenRequest>();
  openRequest->request = {nextClaim(), offering.type, offering.zone, offering.spot, request.count};
  openRequest->shard = shard;
  openRequest->cores = request.cores;
  openRequests_.push_back(openRequest);
  context_.log->info("scale out requested: count={} type={} zone={} shard={} spot={}", request.count,
                     offering.type, offering.zone.value, shard.value, offering.spot);
  send(openRequest);
}

void ScaleOut::addPendingMachines(ShardId shard, policy::ShardFleet& fleet) const {
  auto add = [&](const policy::InstanceOffering& offering, double cores, unsigned count) {
    policy::FleetMachine machine{offering.type, offering.zone, offering.spot, cores, true, -1};
    machine.inReport = false;
    machine.count = count;
    fleet.machines.push_back(machine);
  };
  for (const auto& openRequest : openRequests_)
    if (openRequest->shard == shard)
      add(offeringOf(openRequest->request), openRequest->cores, openRequest->request.count);
  for (const auto& [id, machine] : provisioned_)
    if (machine.shard == shard && awaitsRecord(id)) add(machine.offering, machine.cores, 1);
}

bool ScaleOut::awaitsRecord(const MachineId& id) const {
  return records_.isPending(id) && context_.clusterView.machines.count(id) == 0;
}

policy::InstanceOfferings ScaleOut::unavailableOfferings() const {
  policy::InstanceOfferings offerings;
  for (const auto& [offering, until] : unavailableUntil_)
    if (until > context_.runtime.now()) offerings.insert(offering);
  return offerings;
}

void ScaleOut::send(const OpenRequestPtr& openRequest) {
  context_.callCloud({"POST", "/hosts", wire::encodeProvisionRequest(openRequest->request), false},
                     [this, openRequest](const HttpResult& result) { handleResult(openRequest, result); });
}

void ScaleOut::handleResult(const OpenRequestPtr& openRequest, const HttpResult& result) {
  auto machines = result.answered(200) ? wire::parseProvisioned(result.response.body) : std::nullopt;
  if (machines) {
    handleProvisioned(*openRequest, *machines);
    removeRequest(openRequest);
  } else if (isOutOfCapacity(result) || result.answered(400)) {
    markUnavailable(offeringOf(openRequest->request));
    removeRequest(openRequest);
  } else if (!context_.leadership.active) {
    removeRequest(openRequest);
  } else {
    scheduleRetry(openRequest);
  }
}

void ScaleOut::handleProvisioned(const OpenRequest& openRequest, const std::vector<MachineId>& machines) {
  const auto& request = openRequest.request;
  wire::MachineGroupRecord group{openRequest.shard,       Epoch{}, request.type, request.zone, request.spot,
                                 context_.runtime.wall(), {}};
  auto offering = offeringOf(request);
  std::erase_if(provisioned_, [this](const auto& entry) { return !awaitsRecord(entry.first); });
  for (const auto& id : machines) {
    group.members.push_back({id, wire::MachinePhase::InUse, ""});
    provisioned_[id] = {openRequest.shard, offering, openRequest.cores / request.count};
  }
  records_.create(group);
  if (machines.size() < request.count)
    unavailableUntil_[offering] = context_.runtime.now() + kInitialBackoff;
  else
    backoffs_.erase(offering);
}

void ScaleOut::markUnavailable(const policy::InstanceOffering& offering) {
  auto& backoff = backoffs_[offering];
  backoff = std::clamp(backoff * 2, kInitialBackoff, kMaxBackoff);
  unavailableUntil_[offering] = context_.runtime.now() + backoff + Duration{rng_() % kBackoffJitterMs};
}

// Whether or not the request was executed, repeating its claim returns the outcome and never provisions
// twice.
void ScaleOut::scheduleRetry(const OpenRequestPtr& openRequest) {
  context_.runtime.after(Duration{kRetryDelayMs + rng_() % kRetryJitterMs}, [this, openRequest] {
    bool open = std::count(openRequests_.begin(), openRequests_.end(), openRequest) > 0;
    if (context_.leadership.active && open) send(openRequest);
  });
}

void ScaleOut::removeRequest(const OpenRequestPtr& openRequest) {
  openRequests_.erase(std::remove(openRequests_.begin(), openRequests_.end(), openRequest),
                      openRequests_.end());
}

}  // namespace cherryloft
