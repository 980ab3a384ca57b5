// ScaleOut: requests machines from the cloud. Each request carries a claim, an idempotency key of its own, so
// that it is never carried out twice.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "autoscaler/machine_records.h"
#include "policy/autoscaling.h"
#include "wire/cloud.h"

namespace cherryloft {

class ScaleOut {
 public:
  ScaleOut(const AutoscalerContext& context, MachineRecords& records, std::uint64_t seed)
      : context_(context), records_(records), rng_(seed) {}
  // A new leadership begins.
  void restart() { open_.clear(); }
  // Orders machines for a shard.
  void start(ShardId shard, const policy::ScaleOutRequest& request);
  // Adds the machines that are on order for the shard to its fleet.
  void addOrdered(ShardId shard, policy::ShardFleet& fleet) const;
  // Offers that the cloud refused of late.
  std::set<policy::InstanceOffering> refused() const;
  // There is a machine of that offer to be had again.
  void offeringAvailable(const policy::InstanceOffering& offer) { refusedUntil_.erase(offer); }

 private:
  struct ProvisionRequest {
    wire::ProvisionRequest request;
    ShardId shard;
    double cores = 0;
  };
  using OpenRequestPtr = std::shared_ptr<ProvisionRequest>;

  std::string nextClaim();
  void send(const OpenRequestPtr& rental);
  void answered(const OpenRequestPtr& rental, const HttpResult& result);
  void provisioned(const ProvisionRequest& rental, const std::vector<MachineId>& machines);
  void backOff(const policy::InstanceOffering& offer);
  void sendAgain(const OpenRequestPtr& rental);
  void close(const OpenRequestPtr& rental);

  const AutoscalerContext& context_;
  MachineRecords& records_;
  std::mt19937_64 rng_;
  std::uint64_t claims_ = 0;          // of this process: it may lead twice under one epoch
  std::vector<OpenRequestPtr> open_;  // not yet answered
  std::map<policy::InstanceOffering, Time> refusedUntil_;
  std::map<policy::InstanceOffering, Duration> refusedFor_;
};

}  // namespace cherryloft
