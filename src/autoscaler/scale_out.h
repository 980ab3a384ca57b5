// Rentals: rents machines from the cloud, each order under a claim of its own, so that it is never carried
// out twice.
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
  void available(const policy::InstanceOffering& offer) { refusedUntil_.erase(offer); }

 private:
  struct Rental {
    wire::Rental request;
    ShardId shard;
    double cores = 0;
  };
  using RentalPtr = std::shared_ptr<Rental>;

  std::string nextClaim();
  void send(const RentalPtr& rental);
  void answered(const RentalPtr& rental, const HttpResult& result);
  void rented(const Rental& rental, const std::vector<MachineId>& machines);
  void backOff(const policy::InstanceOffering& offer);
  void sendAgain(const RentalPtr& rental);
  void close(const RentalPtr& rental);

  const AutoscalerContext& context_;
  MachineRecords& records_;
  std::mt19937_64 rng_;
  std::uint64_t claims_ = 0;     // of this process: it may lead twice under one epoch
  std::vector<RentalPtr> open_;  // not yet answered
  std::map<policy::InstanceOffering, Time> refusedUntil_;
  std::map<policy::InstanceOffering, Duration> refusedFor_;
};

}  // namespace cherryloft
