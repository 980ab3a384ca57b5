#include "autoscaler/scale_out.h"

#include <algorithm>

namespace cherryloft {
namespace {

constexpr Duration kFirstRefusal{8'000};
constexpr Duration kMostRefusal{30'000};
constexpr std::uint64_t kRefusalJitterMs = 1'000;
constexpr std::uint64_t kSendAgainMs = 500;
constexpr std::uint64_t kSendAgainJitterMs = 500;

policy::InstanceOffering offeringOf(const wire::ProvisionRequest& request) {
  return {request.type, request.zone, request.spot};
}

bool noCapacity(const HttpResult& result) {
  return result.answered(503) && result.response.body.find("no capacity") != std::string::npos;
}

}  // namespace

std::string ScaleOut::nextClaim() {
  auto epoch = context_.clusterView.leader->record.epoch;
  return "cl-" + context_.settings.controller.value + "-" + std::to_string(epoch.value) + "-" +
         std::to_string(++claims_);
}

void ScaleOut::start(ShardId shard, const policy::ScaleOutRequest& request) {
  const auto& offer = request.offer;
  auto rental = std::make_shared<ProvisionRequest>();
  rental->request = {nextClaim(), offer.type, offer.zone, offer.spot, request.count};
  rental->shard = shard;
  rental->cores = request.cores;
  open_.push_back(rental);
  context_.log->info("scale out requested: count={} type={} zone={} shard={} spot={}", request.count,
                     offer.type, offer.zone.value, shard.value, offer.spot);
  send(rental);
}

void ScaleOut::addOrdered(ShardId shard, policy::ShardFleet& fleet) const {
  for (const auto& rental : open_) {
    if (rental->shard != shard) continue;
    const auto& request = rental->request;
    fleet.machines.push_back({request.type, request.zone, request.spot, rental->cores, true, -1});
  }
}

std::set<policy::InstanceOffering> ScaleOut::refused() const {
  std::set<policy::InstanceOffering> offers;
  for (const auto& [offer, until] : refusedUntil_)
    if (until > context_.runtime.now()) offers.insert(offer);
  return offers;
}

void ScaleOut::send(const OpenRequestPtr& rental) {
  context_.callCloud({"POST", "/hosts", wire::encodeProvisionRequest(rental->request), false},
                     [this, rental](const HttpResult& result) { answered(rental, result); });
}

void ScaleOut::answered(const OpenRequestPtr& rental, const HttpResult& result) {
  auto machines = result.answered(200) ? wire::parseProvisioned(result.response.body) : std::nullopt;
  if (machines) {
    provisioned(*rental, *machines);
    close(rental);
  } else if (noCapacity(result)) {
    backOff(offeringOf(rental->request));
    close(rental);
  } else if (result.answered(400) || !context_.leadership.active) {
    close(rental);
  } else {
    sendAgain(rental);
  }
}

void ScaleOut::provisioned(const ProvisionRequest& rental, const std::vector<MachineId>& machines) {
  const auto& request = rental.request;
  wire::MachineGroupRecord group{
      rental.shard, Epoch{}, request.type, request.zone, request.spot, context_.runtime.wall(), {}};
  for (const auto& id : machines) group.members.push_back({id, wire::MachinePhase::InUse, ""});
  records_.create(group);
  auto offer = offeringOf(request);
  if (machines.size() < request.count)
    refusedUntil_[offer] = context_.runtime.now() + kFirstRefusal;
  else
    refusedFor_.erase(offer);
}

void ScaleOut::backOff(const policy::InstanceOffering& offer) {
  auto& refusedFor = refusedFor_[offer];
  refusedFor = std::clamp(refusedFor * 2, kFirstRefusal, kMostRefusal);
  refusedUntil_[offer] = context_.runtime.now() + refusedFor + Duration{rng_() % kRefusalJitterMs};
}

// Executed or not: the same claim again tells, and never provisions twice.
void ScaleOut::sendAgain(const OpenRequestPtr& rental) {
  context_.runtime.after(Duration{kSendAgainMs + rng_() % kSendAgainJitterMs}, [this, rental] {
    bool open = std::count(open_.begin(), open_.end(), rental) > 0;
    if (context_.leadership.active && open) send(rental);
  });
}

void ScaleOut::close(const OpenRequestPtr& rental) {
  open_.erase(std::remove(open_.begin(), open_.end(), rental), open_.end());
}

}  // namespace cherryloft
