// CapacityDemand: the waiting tasks of a shard that may be placed as soon as there is capacity, grouped by
// what they need, and how many of each group the shard's machines have no capacity for.
//
// Tasks are counted only if a machine type of the catalog suits them, their team's quota allows them and
// their job is not in a backoff. The tasks of each group are assigned to the free capacity of the shard's
// machines, booting ones included, in the order of submission. What is left over lacks capacity: immediately
// if no machine of the shard can ever take such a task, otherwise once the group has waited for some time
// without any of its tasks being placed, as other tasks may free capacity meanwhile.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "mesh/load_messages.h"
#include "runtime/runtime.h"
#include "scheduler/failure_attribution.h"
#include "scheduler/shard_state.h"

namespace cherryloft {

class CapacityDemand {
 public:
  // Placement rules of the shard.
  struct Rules {
    // Whether the job must run on on-demand machines because losing one more spot machine would make it late.
    std::function<bool(const Job&)> avoidsSpot;
    // How many more tasks of the job may be placed in the zone.
    std::function<std::uint32_t(const Job&, const Zone&)> tasksAllowedIn;
    // Whether a machine with free capacity may take tasks of the job.
    std::function<bool(const Job&, const Machine&)> allowsMachine;
  };
  // Numbers of jobs whose waiting tasks are not counted, by reason.
  struct ExcludedJobs {
    std::size_t unsuitable = 0;  // no machine type of the catalog suits them
    std::size_t overQuota = 0;
    std::size_t inBackoff = 0;  // after repeated failures, or at their limit of tasks in this shard
  };
  // The waiting tasks of one job that are to be placed now.
  struct WaitingJob {
    const Job* job = nullptr;
    std::uint32_t tasks = 0;
    bool avoidsSpot = false;
    std::vector<std::size_t> types;  // suitable types, as indices into the catalog
  };

  // All references must outlive this object.
  CapacityDemand(const Settings& settings, const Catalog& catalog, const Runtime& runtime,
                 const ShardState& state, const FailureAttribution& failures, Rules rules)
      : settings_(settings),
        catalog_(catalog),
        runtime_(runtime),
        state_(state),
        failures_(failures),
        rules_(std::move(rules)) {}

  // The jobs with tasks to be placed, each team's in the order of submission.
  [[nodiscard]] std::vector<WaitingJob> waitingJobs();
  // The jobs that the last call of waitingJobs() left out.
  [[nodiscard]] const ExcludedJobs& excludedJobs() const { return excludedJobs_; }
  // Their tasks in groups. If there are more groups than a report holds, successive calls return them in
  // turn.
  [[nodiscard]] std::vector<mesh::WaitingTaskGroup> groups(const std::vector<WaitingJob>& jobs);
  // The types of the catalog that suit a task of the job.
  [[nodiscard]] std::vector<std::size_t> suitableTypes(const JobSpec& spec) const;

 private:
  using ZoneLimits = std::map<Zone, std::uint32_t>;  // allowed zones, and how many tasks may be placed there
  struct GroupKey;
  struct Group;
  class FreeCapacity;

  std::optional<WaitingJob> describeWaiting(const Job& job, const Resources& withinQuota);
  [[nodiscard]] std::uint32_t tasksWithinQuota(const Job& job, std::uint32_t tasks,
                                               const Resources& withinQuota) const;
  [[nodiscard]] std::uint32_t tasksNotInBackoff(const Job& job) const;
  [[nodiscard]] ZoneLimits zoneLimits(const Job& job) const;
  [[nodiscard]] std::vector<Group> groupJobs(const std::vector<WaitingJob>& jobs) const;
  void selectForReport(std::vector<Group>& groups);
  static void sortByChoices(std::vector<Group>& groups);
  [[nodiscard]] bool suits(const Group& group, const MachinePool& pool) const;
  [[nodiscard]] std::uint32_t tasksLacking(const Group& group, std::uint32_t unassigned,
                                           const FreeCapacity& capacity) const;
  [[nodiscard]] mesh::WaitingTaskGroup report(const Group& group, FreeCapacity& capacity) const;
  void reportOneZone(const Group& group, FreeCapacity& capacity, mesh::WaitingTaskGroup& reported) const;

  const Settings& settings_;
  const Catalog& catalog_;
  const Runtime& runtime_;
  const ShardState& state_;
  const FailureAttribution& failures_;
  Rules rules_;
  ExcludedJobs excludedJobs_;
  std::size_t nextGroup_ = 0;  // the first of the groups that take turns in the next report
};

}  // namespace cherryloft
