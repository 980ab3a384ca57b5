#include <gtest/gtest.h>

#include <cmath>

#include "config/settings.h"
#include "policy/admission.h"
#include "policy/autoscaling.h"
#include "policy/coupling.h"
#include "policy/placement_order.h"
#include "policy/preemption.h"
#include "world/world.h"

using namespace cherryloft;
using namespace cherryloft::policy;

TEST(Coupling, FormulaThree) {
  EXPECT_DOUBLE_EQ(couplingProbability(1.0, {0.0, 5.0}, 3), 1.0);  // none with the image has capacity
  EXPECT_DOUBLE_EQ(couplingProbability(1.0, {0.5, 0.0}, 3), 1.0);  // no machine has capacity
  double beta = 0.1 + 0.9 * (1 - std::exp(-2.0 / 4.0));
  EXPECT_NEAR(couplingProbability(0.8, {0.25, 4.0}, 2), 1 - 0.8 * std::pow(0.25, beta) * (1 - std::exp(-4.0)),
              1e-12);
  // In beta, an estimate below one machine with capacity counts as one.
  beta = 0.1 + 0.9 * (1 - std::exp(-2.0));
  EXPECT_NEAR(couplingProbability(1.0, {0.5, 0.5}, 2), 1 - std::pow(0.5, beta) * (1 - std::exp(-0.5)), 1e-12);
  EXPECT_DOUBLE_EQ(localityAlpha(ImageLocality::InZoneWithJobTasks), 0.7);
  EXPECT_DOUBLE_EQ(localityAlpha(ImageLocality::InZone), 0.8);
  EXPECT_DOUBLE_EQ(localityAlpha(ImageLocality::OutsideZone), 1.0);
}

TEST(Coupling, SampleIsWithoutReplacement) {
  std::mt19937_64 rng(5);
  EXPECT_EQ(sampleIndices(3, 64, rng).size(), 3U);
  auto sample = sampleIndices(1000, 64, rng);
  EXPECT_EQ(std::set<std::size_t>(sample.begin(), sample.end()).size(), 64U);
}

TEST(PlacementOrder, ComparesCriteriaInOrderOfSignificance) {
  const PlacementOrderKey base{false, PriorityClass::Normal, false, true, 0, std::nullopt, 100, 10};
  auto baseWith = [&](auto change) {
    auto key = base;
    change(key);
    return key;
  };
  auto highPriority = baseWith([](auto& key) { key.priority = PriorityClass::High; });
  auto guaranteed = baseWith([](auto& key) { key.withinGuarantee = true; });
  auto withDeadline = baseWith([](auto& key) { key.slackSeconds = 5; });
  auto infeasible = baseWith([](auto& key) {
    key.objectiveFeasible = false;
    key.remainingCoreSeconds = 1;
    key.slackSeconds = 0;
  });
  auto small = baseWith([](auto& key) {
    key.remainingCoreSeconds = 50;
    key.ageSeconds = 1;
  });
  auto older = baseWith([](auto& key) { key.ageSeconds = 20; });
  auto withTeamTurn = baseWith([](auto& key) {
    key.teamTurns = 1;
    key.ageSeconds = 99;
    key.slackSeconds = 0;
  });
  auto overdue = baseWith([](auto& key) { key.firstStartOverdue = true; });
  EXPECT_TRUE(precedes(overdue, highPriority));
  EXPECT_TRUE(precedes(highPriority, guaranteed));
  EXPECT_TRUE(precedes(guaranteed, withDeadline));
  EXPECT_TRUE(precedes(withDeadline, small));
  EXPECT_TRUE(precedes(small, older));
  EXPECT_TRUE(precedes(base, infeasible));
  EXPECT_TRUE(precedes(older, base));
  EXPECT_TRUE(precedes(base, withTeamTurn));
  EXPECT_FALSE(precedes(base, base));
}

TEST(Preemption, EligibilityFollowsPriorityAndGuarantee) {
  auto allowed = [](PriorityClass preemptor, bool withinGuarantee, bool sameTeam, PriorityClass target,
                    bool teamAboveGuarantee) {
    return mayPreempt({preemptor, withinGuarantee}, {target, sameTeam, teamAboveGuarantee});
  };
  EXPECT_TRUE(allowed(PriorityClass::High, false, true, PriorityClass::Normal, false));
  EXPECT_FALSE(allowed(PriorityClass::High, false, false, PriorityClass::High, true));
  EXPECT_FALSE(allowed(PriorityClass::BestEffort, true, false, PriorityClass::Production, true));
  EXPECT_TRUE(allowed(PriorityClass::Normal, true, false, PriorityClass::Normal, true));
  EXPECT_FALSE(allowed(PriorityClass::BestEffort, true, true, PriorityClass::Production, true));
  EXPECT_FALSE(allowed(PriorityClass::Normal, true, false, PriorityClass::Normal, false));
}

TEST(Preemption, SelectsVictimsWithLeastLostWorkThatFreeEnough) {
  Resources four{4, 0, 4}, eight{8, 0, 8};
  std::vector<VictimCandidate> candidates{{four, 50}, {four, 5}, {eight, 20}};
  auto selection = selectVictims({0, 0, 0}, four, candidates);
  ASSERT_TRUE(selection);
  EXPECT_EQ(selection->victims, std::vector<std::size_t>{1});
  selection = selectVictims({0, 0, 0}, eight, candidates);  // 5*4 + 20*8 > 20*8: the small one is redundant
  ASSERT_TRUE(selection);
  EXPECT_DOUBLE_EQ(selection->lostCoreSeconds, 160);
  EXPECT_FALSE(selectVictims({0, 0, 0}, {32, 0, 32}, candidates));
  EXPECT_TRUE(selectVictims({4, 0, 4}, four, candidates)->victims.empty());
}

TEST(Autoscaler, RequestsCheapestSuitableOfferingAndReleasesMostExpensiveMachine) {
  Catalog catalog{{"s", {8, 0, 16}, 30, 1, 0.48, 0.13, 30, {Zone{"a"}}},
                  {"l", {32, 0, 128}, 50, 1, 2.18, 0.61, 20, {Zone{"a"}, Zone{"b"}}}};
  ShardFleet fleet;
  fleet.spotAllowed = {0, 32, 0, 0, 0, 4, 0, 1, {}};
  auto target = computeCapacityTargets(fleet, catalog, 0, 0);
  auto request = nextScaleOut(fleet, target, catalog, {});
  ASSERT_TRUE(request);
  EXPECT_TRUE(request->offering.spot);
  EXPECT_EQ(request->offering.type, "s");
  auto withoutSpot = nextScaleOut(fleet, target, catalog,
                                  {{"s", Zone{"a"}, true}, {"l", Zone{"a"}, true}, {"l", Zone{"b"}, true}});
  ASSERT_TRUE(withoutSpot);
  EXPECT_FALSE(withoutSpot->offering.spot);  // on-demand if no spot offering is available
  fleet.spotAllowed.ramPerCore = 3;  // now memory is the bottleneck, and the small type fits few tasks
  EXPECT_EQ(nextScaleOut(fleet, target, catalog, {})->offering.type, "l");
  fleet.spotAllowed = {};
  fleet.machines = {{"l", Zone{"a"}, true, 32, true, 60, 0, 100},
                    {"l", Zone{"a"}, false, 32, true, 60, 0, 100},
                    {"s", Zone{"a"}, false, 8, true, 2, 0, 100}};
  auto released = machineToRelease(fleet, computeCapacityTargets(fleet, catalog, 0, 0), catalog, 10, 1000);
  ASSERT_TRUE(released);
  EXPECT_EQ(*released, 1U);
  fleet.machines[1].ageS = 30;  // still within the minimum billing period of a minute
  EXPECT_NE(machineToRelease(fleet, computeCapacityTargets(fleet, catalog, 0, 0), catalog, 10, 1000),
            std::optional<std::size_t>(1));
  fleet.machines[1].ageS = 100;
  fleet.onDemandOnly.used = 40;  // all on-demand machines are needed
  EXPECT_NE(machineToRelease(fleet, computeCapacityTargets(fleet, catalog, 0, 0), catalog, 10, 1000),
            std::optional<std::size_t>(1));
}

// Guards against a fleet that stays oversized after a burst: draining one busy machine per planning cycle,
// and none while any is idle, kept thousands of cores for minutes after their work had ended.
TEST(Autoscaler, DrainsSeveralBusyMachinesOfOversizedFleet) {
  Catalog catalog{{"l", {32, 0, 128}, 50, 1, 2.18, 0.61, 20, {Zone{"a"}}}};
  ShardFleet fleet;
  fleet.onDemandOnly.used = 160;
  FleetMachine busy{"l", Zone{"a"}, false, 32, true, -1, 8, 100};
  fleet.machines.assign(30, busy);
  fleet.machines[0].idleS = 5;
  fleet.machines[1].pinned = true;
  fleet.machines[2].usedCores = 1;
  auto target = computeCapacityTargets(fleet, catalog, 0, 0);
  auto chosen = machinesToDrain(fleet, target, catalog, 60, 4);
  ASSERT_EQ(chosen.size(), 4U);
  EXPECT_EQ(chosen.front(), 2U);  // it has the fewest used cores
  EXPECT_EQ(std::count(chosen.begin(), chosen.end(), 0U) + std::count(chosen.begin(), chosen.end(), 1U), 0);
  // Draining never goes below the target capacity, whatever the limit on machines.
  auto all = machinesToDrain(fleet, target, catalog, 60, 20);
  EXPECT_GE(capacityCores(fleet) - 32.0 * static_cast<double>(all.size()), target.total);
  // Near the target, or in a small fleet: one machine at a time, and none while an idle one can be released.
  fleet.machines.resize(12, busy);
  fleet.machines[0].idleS = -1;
  EXPECT_EQ(machinesToDrain(fleet, target, catalog, 60, 4).size(), 1U);
  fleet.machines[0].idleS = 5;
  EXPECT_TRUE(machinesToDrain(fleet, target, catalog, 60, 4).empty());
}

TEST(Settings, DerivesShardsAndIntervals) {
  world::Deployment deployment;
  deployment.types = {};
  auto settings = parseSettings(deployment.settingsJson(1), {});
  EXPECT_EQ(settings.controller.value, "loft-1");
  EXPECT_EQ(settings.preferredShard(ControllerId{"loft-2"}).value, 2U);
  EXPECT_EQ(settings.shardOfTeam(TeamId{"team-1"}).value, 1U);
  // Invariant 6: lease, grace and worker lease all end before a cancellation is due.
  EXPECT_LE(toSeconds(settings.leaseTtl() + settings.grace()) + settings.workerLeaseS,
            settings.cancelDeadlineS - 1);
  EXPECT_EQ(settings.maxCancellationStaleness(), settings.leaseTtl() + settings.grace());
  // In the settings, a value of 0 means none: no guarantee, and no quota.
  deployment.guest = true;
  auto guest = parseSettings(deployment.settingsJson(1), {}).team(TeamId{"team-guest"})->coreQuota;
  EXPECT_TRUE(std::isinf(guest));
  EXPECT_THROW(parseSettings("{}", {}), SettingsError);
  EXPECT_THROW(parseSettings("nonsense", {}), SettingsError);
  EXPECT_THROW(parseAddress("10.0.0.1"), SettingsError);
  EXPECT_THROW(parseAddress("10.0.0.256:80"), SettingsError);
  EXPECT_THROW(parseAddress("10.0.0.1:0"), SettingsError);
}

// Data written under the present limits must be writable again under the announced ones, and vice versa.
TEST(Settings, LowerOfPresentAndAnnouncedLimitsApplies) {
  world::Deployment deployment;
  deployment.valueKb = 16, deployment.txnOps = 8, deployment.writeRps = 80;
  deployment.nextValueKb = 2, deployment.nextTxnOps = 24;
  auto settings = parseSettings(deployment.settingsJson(0), {});
  EXPECT_EQ(settings.maxValueBytes, 2048U);
  EXPECT_EQ(settings.txnOps, 8U);
  EXPECT_EQ(settings.stateWriteRps, 80);
  EXPECT_EQ(settings.stateRps, deployment.rps);
  EXPECT_EQ(parseSettings(deployment.settingsJson(0, false), {}).maxValueBytes, std::size_t{16} * 1024);
  deployment.nextTxnOps = 1;
  EXPECT_THROW(parseSettings(deployment.settingsJson(0), {}), SettingsError);
}

// Invariants 6 and 16, for many combinations of settings: if a controller answers a heartbeat without knowing
// of a cancellation, the worker lease granted by that answer ends within cancel_s, clock drift included.
TEST(Settings, LeasesGrantedWithoutKnowledgeOfACancellationEndInTime) {
  constexpr double kDrift = 0.001;  // of two clocks relative to each other
  for (double lease : {0.5, 3.0, 10.0, 36.0, 45.0, 600.0}) {
    for (double margin : {0.0, 0.01, 0.2, 1.0, 2.0, 3.5, 5.0, 8.0, 16.0, 25.0, 30.0, 300.0, 6000.0}) {
      for (int ttlMs : {500, 3'000, 60'000}) {
        world::Deployment deployment;
        deployment.workerLeaseS = lease;
        deployment.cancelDeadlineS = lease + margin;
        Tuning tuning;
        tuning.leaseTtl = Duration{ttlMs};
        auto settings = parseSettings(deployment.settingsJson(0), tuning);
        SCOPED_TRACE(testing::Message()
                     << "lease " << lease << " cancel " << deployment.cancelDeadlineS << " ttl " << ttlMs);
        EXPECT_GE(settings.leaseTtl(), Duration{500});
        EXPECT_LE(settings.leaseTtl(), tuning.leaseTtl);
        EXPECT_GE(settings.grace(), Duration{0});
        EXPECT_GE(settings.maxCancellationStaleness(), Duration{0});
        // The last answers without that knowledge: by a keep-alive proxy or an owner that has not loaded its
        // shard, maxCancellationStaleness() after their last known state; by a former owner, the grace period
        // after its lease, which must end before another owner confirms the cancellation.
        for (auto last : {settings.maxCancellationStaleness(), settings.grace()}) {
          double latestEnd = toSeconds(last) * (1 + kDrift) + lease * (1 + kDrift);
          // If cancel_s leaves no margin above the lease, only the clock drift itself may exceed it.
          EXPECT_LE(latestEnd, deployment.cancelDeadlineS + (margin < 2 * kDrift * deployment.cancelDeadlineS
                                                                 ? 2 * kDrift * deployment.cancelDeadlineS
                                                                 : 0.0));
        }
        EXPECT_EQ(settings.grace(),
                  std::max(settings.maxCancellationStaleness() - settings.leaseTtl(), Duration{0}));
      }
    }
  }
}

TEST(Admission, RejectsJobsThatCanNeverRun) {
  world::Deployment deployment;
  auto settings = parseSettings(deployment.settingsJson(0), {});
  Catalog catalog{{"m", {16, 0, 32}, 25, 1, 1, 0.4, 25, {Zone{"a"}, Zone{"b"}}}};
  JobSpec job;
  job.team = TeamId{"team-0"};
  job.each = {4, 0, 4};
  EXPECT_FALSE(infeasibilityReason(job, settings, catalog));
  auto isRejected = [&](auto change) {
    auto changed = job;
    change(changed);
    return infeasibilityReason(changed, settings, catalog).has_value();
  };
  EXPECT_TRUE(isRejected([](auto& changed) { changed.team = TeamId{"nobody"}; }));
  EXPECT_TRUE(isRejected([](auto& changed) { changed.each.ram = 33; }));
  EXPECT_TRUE(isRejected([](auto& changed) { changed.types = std::vector<std::string>{"x"}; }));
  EXPECT_TRUE(isRejected([](auto& changed) { changed.zone = Zone{"c"}; }));
  EXPECT_TRUE(isRejected([](auto& changed) { changed.kind = JobKind::Service, changed.tasks = 23; }));
  EXPECT_FALSE(isRejected([](auto& changed) { changed.tasks = 23; }));  // arrays need quota for one task only
  EXPECT_TRUE(isRejected([](auto& changed) { changed.spread = changed.oneZone = true, changed.tasks = 2; }));
}
