// A controller that has joined a cluster; tests set up the cluster view.
#pragma once

#include <gtest/gtest.h>

#include "cluster/controller_lease.h"
#include "cluster/epoch_allocator.h"
#include "unit/fake_state_service.h"
#include "world/world.h"

namespace cherryloft {

struct JoinedControllerTest : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsJson(0), {});
  FakeStateService service;
  KeyValueStore store{settings, service, silentLog(), 1};
  ClusterView view;
  LeaseValidity reportedValidity;
  ControllerLease lease{settings,
                        service,
                        silentLog(),
                        store,
                        view,
                        {[this](const LeaseValidity& validity) { reportedValidity = validity; },
                         [] { return std::map<std::string, Version>{}; }, [] {}}};
  int viewRefreshes = 0;
  EpochAllocator epochs{settings, store, view, lease, [this] { ++viewRefreshes; }};

  JoinedControllerTest() {
    for (const auto& prefix : {keys::kJobs, keys::kMachines, keys::kShards, keys::kControllers})
      store.watch(prefix, [](const wire::KeyChange&) {});
    lease.start();
    runFor(Duration{1'000});
    EXPECT_TRUE(lease.joined());
    service.transactions.clear();
  }
  void runFor(Duration time) { service.clock.run(service.clock.now() + time.count()); }
  void setAlive(const ControllerId& controller) { view.controllers[controller] = Version{1}; }
  [[nodiscard]] const ControllerId& self() const { return settings.controller; }
  [[nodiscard]] const ControllerId& other() const { return settings.controllers[1]; }
};

}  // namespace cherryloft
