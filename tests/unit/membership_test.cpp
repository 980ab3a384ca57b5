// A controller's lease in the state service.
#include "cluster/membership.h"

#include <gtest/gtest.h>

#include "unit/fake_state_service.h"
#include "world/world.h"

namespace cherryloft {
namespace {

struct MembershipTest : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsJson(0), {});
  FakeStateService service;
  KeyValueStore store{settings, service, silentLog(), 1};
  ClusterView view;
  Membership membership{settings,
                        service,
                        silentLog(),
                        store,
                        view,
                        {[](const LeaseValidity&) {}, [](const ShardTakeover&) {}, [](ShardId) {},
                         [](bool) {}, [](ShardId, const ControllerId&) {}}};

  MembershipTest() {
    for (const auto& prefix : {keys::kJobs, keys::kMachines, keys::kShards, keys::kControllers})
      store.watch(prefix, [](const wire::KeyChange&) {});
  }
  // Returns by how much `count` increases within 10 s after four leases have expired.
  int requestsInTenSecondsAfterFourLeases(const std::function<int()>& count) {
    membership.start();
    service.clock.run(10'000);
    EXPECT_EQ(service.leasesGranted, 5);
    auto before = count();
    service.clock.run(20'000);
    return count() - before;
  }
};

// Four joins fail with an expired lease before a renewal reports it. Renewals of the earlier leases must
// stop, otherwise the renewal rate grows with every lease.
TEST_F(MembershipTest, OnlyOneRenewalSequenceRunsAtATime) {
  int refused = 0;
  service.transactionStatus = [&refused] { return ++refused <= 4 ? 400 : 409; };
  // Four renewals per lease TTL of 3 s.
  EXPECT_LE(requestsInTenSecondsAfterFourLeases([this] { return service.renewals; }), 14);
}

// Leases expire while their join is still being retried. Only the join under the latest lease may continue.
TEST_F(MembershipTest, OnlyOneJoinSequenceRunsAtATime) {
  service.transactionStatus = [] { return 409; };
  int gone = 0;
  service.renewalStatus = [&gone] { return ++gone <= 4 ? 404 : 200; };
  auto transactions = [this] { return static_cast<int>(service.transactions.size()); };
  EXPECT_LE(requestsInTenSecondsAfterFourLeases(transactions), 100);
}

}  // namespace
}  // namespace cherryloft
