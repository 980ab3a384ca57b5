// A test fixture with a shard state to add machines and jobs to, for tests of placement decisions.
#pragma once

#include <gtest/gtest.h>

#include "scheduler/placement_constraints.h"
#include "unit/virtual_clock_runtime.h"
#include "world/world.h"

namespace cherryloft {

// There is one machine type of 8 cores, in the zones a and b. The teams team-0 and team-1 are those of
// world::Deployment. Images are 10 GB and fetched at 1 GB/s; `cacheImage` puts one into a machine's cache.
class PlacementFixture : public testing::Test {
 protected:
  struct NoCallRuntime : VirtualClockRuntime {
    void call(const Address&, HttpRequest, Duration, HttpCallback) override {}
  };

  Machine& addMachine(const std::string& id, const std::string& zone = "a", bool spot = false) {
    MachineEntry entry;
    entry.record.type = type_.name;
    entry.record.zone = Zone{zone};
    entry.record.spot = spot;
    entry.record.phase = wire::MachinePhase::InUse;
    auto& machine = state_.addMachine(MachineId{id}, entry, &type_, runtime_.now());
    machine.registered = true;
    state_.reindex(machine);
    return machine;
  }

  // Adds a job of one-core tasks; `change` may modify its spec first.
  template <class Change>
  Job& addJob(const std::string& id, std::uint32_t tasks, Change change) {
    auto spec = std::make_shared<JobSpec>();
    spec->id = JobId{id};
    spec->jobClass = "plain";
    spec->team = TeamId{"team-0"};
    spec->tasks = tasks;
    spec->each = {1, 0, 1};
    spec->image = ImageId{"image-" + id};
    spec->imageGb = 10;
    spec->spotAllowed = true;
    spec->expectedRunSeconds = 60;
    change(*spec);
    JobEntry entry;
    entry.tasks = tasks;
    entry.submitted = runtime_.wall();
    entry.spec = std::move(spec);
    return state_.addJob(JobId{id}, entry);
  }
  Job& addJob(const std::string& id, std::uint32_t tasks) {
    return addJob(id, tasks, [](JobSpec&) {});
  }

  void cacheImage(Machine& machine, const Job& job) {
    state_.recordImageUse(machine, job.spec->image, job.spec->imageGb);
  }

  // Places the job's next task on the machine, as running for `ranSeconds` already.
  Placement& runTask(Job& job, Machine& machine, double ranSeconds) {
    auto index = job.waiting.front();
    job.waiting.pop_front();
    auto& placement = state_.place(job, index, machine, Attempt{++attempts_}, runtime_.now());
    ShardState::commit(placement);
    placement.observed = true;
    state_.setPhase(placement, wire::TaskPhase::Running, runtime_.now());
    placement.runningSince = runtime_.now() - seconds(ranSeconds);
    return placement;
  }

  Settings settings_ = parseSettings(world::Deployment{}.settingsJson(0), {});
  MachineType type_{"m", {8, 0, 32}, 100, 1, 1, 0.4, 5, {Zone{"a"}, Zone{"b"}}};
  NoCallRuntime runtime_;
  ShardState state_{settings_};
  FailureAttribution failures_{Duration{3000}};
  PlacementConstraints constraints_{settings_, state_, failures_, runtime_};

 private:
  std::uint64_t attempts_ = 0;
};

}  // namespace cherryloft
