// ScaleOut: requests machines from the cloud. Each request carries a unique idempotency key, its claim, so
// that retries never provision machines twice.
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
  // Called when a new leadership term begins.
  void reset() {
    openRequests_.clear();
    provisioned_.clear();
  }
  // Requests machines for a shard.
  void requestMachines(ShardId shard, const policy::ScaleOutRequest& request);
  // Adds the machines of the shard's open requests to its fleet, and those provisioned whose records are not
  // written yet.
  void addPendingMachines(ShardId shard, policy::ShardFleet& fleet) const;
  // Offerings in backoff because the cloud recently had no capacity for them, or refused the request.
  policy::InstanceOfferings unavailableOfferings() const;
  // Ends the offering's backoff: a machine of it was returned.
  void markAvailable(const policy::InstanceOffering& offering) { unavailableUntil_.erase(offering); }

 private:
  struct OpenRequest {
    wire::ProvisionRequest request;
    ShardId shard;
    double cores = 0;
  };
  using OpenRequestPtr = std::shared_ptr<OpenRequest>;
  struct ProvisionedMachine {
    ShardId shard;
    policy::InstanceOffering offering;
    double cores = 0;  // that the work can use
  };

  std::string nextClaim();
  void send(const OpenRequestPtr& openRequest);
  void handleResult(const OpenRequestPtr& openRequest, const HttpResult& result);
  void handleProvisioned(const OpenRequest& openRequest, const std::vector<MachineId>& machines);
  void markUnavailable(const policy::InstanceOffering& offering);
  void scheduleRetry(const OpenRequestPtr& openRequest);
  void removeRequest(const OpenRequestPtr& openRequest);
  bool awaitsRecord(const MachineId& id) const;

  const AutoscalerContext& context_;
  MachineRecords& records_;
  std::mt19937_64 rng_;
  std::uint64_t claimsIssued_ = 0;            // per process, as a process may be leader twice under one epoch
  std::vector<OpenRequestPtr> openRequests_;  // without a final answer
  std::map<MachineId, ProvisionedMachine> provisioned_;
  std::map<policy::InstanceOffering, Time> unavailableUntil_;
  std::map<policy::InstanceOffering, Duration> backoffs_;
};

}  // namespace cherryloft
