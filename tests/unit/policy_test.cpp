#include <gtest/gtest.h>

#include <cmath>

#include "config/settings.h"
#include "policy/admission.h"
#include "policy/autoscaling.h"
#include "policy/coupling.h"
#include "policy/order.h"
#include "policy/preempt.h"
#include "world/world.h"

using namespace cherryloft;
using namespace cherryloft::policy;

TEST(Coupling, FormulaThree) {
  EXPECT_DOUBLE_EQ(couplingProbability(1.0, {0.0, 5.0}, 3), 1.0);  // no holder has room
  EXPECT_DOUBLE_EQ(couplingProbability(1.0, {0.5, 0.0}, 3), 1.0);  // no machine has room
  double beta = 0.1 + 0.9 * (1 - std::exp(-2.0 / 4.0));
  EXPECT_NEAR(couplingProbability(0.8, {0.25, 4.0}, 2), 1 - 0.8 * std::pow(0.25, beta) * (1 - std::exp(-4.0)),
              1e-12);
  // Fewer than one machine with room counts as one in beta.
  beta = 0.1 + 0.9 * (1 - std::exp(-2.0));
  EXPECT_NEAR(couplingProbability(1.0, {0.5, 0.5}, 2), 1 - std::pow(0.5, beta) * (1 - std::exp(-0.5)), 1e-12);
  EXPECT_DOUBLE_EQ(alphaOf(ImageLocality::InZoneWithJobTasks), 0.7);
  EXPECT_DOUBLE_EQ(alphaOf(ImageLocality::InZone), 0.8);
  EXPECT_DOUBLE_EQ(alphaOf(ImageLocality::OutsideZone), 1.0);
}

TEST(Coupling, SampleIsWithoutReplacement) {
  std::mt19937_64 rng(5);
  EXPECT_EQ(sampleIndices(3, 64, rng).size(), 3U);
  auto s = sampleIndices(1000, 64, rng);
  EXPECT_EQ(std::set<std::size_t>(s.begin(), s.end()).size(), 64U);
}

TEST(PlacementOrder, OverduePriorityGuaranteeFeasibilityTurnsSlackWorkAge) {
  const PlacementOrderKey base{false, PriorityClass::Normal, false, true, 0, std::nullopt, 100, 10};
  auto with = [&](auto change) {
    auto key = base;
    change(key);
    return key;
  };
  auto urgent = with([](auto& key) { key.priority = PriorityClass::High; });
  auto guaranteed = with([](auto& key) { key.withinGuarantee = true; });
  auto due = with([](auto& key) { key.slackSeconds = 5; });
  auto infeasible = with([](auto& key) {
    key.objectiveFeasible = false;
    key.remainingCoreSeconds = 1;
    key.slackSeconds = 0;
  });
  auto small = with([](auto& key) {
    key.remainingCoreSeconds = 50;
    key.ageSeconds = 1;
  });
  auto older = with([](auto& key) { key.ageSeconds = 20; });
  auto served = with([](auto& key) {
    key.teamTurns = 1;
    key.ageSeconds = 99;
    key.slackSeconds = 0;
  });
  auto overdue = with([](auto& key) { key.firstStartOverdue = true; });
  EXPECT_TRUE(precedes(overdue, urgent));
  EXPECT_TRUE(precedes(urgent, guaranteed));
  EXPECT_TRUE(precedes(guaranteed, due));
  EXPECT_TRUE(precedes(due, small));
  EXPECT_TRUE(precedes(small, older));
  EXPECT_TRUE(precedes(base, infeasible));
  EXPECT_TRUE(precedes(older, base));
  EXPECT_TRUE(precedes(base, served));
  EXPECT_FALSE(precedes(base, base));
}

TEST(Preemption, OnlyAsTheProtocolPermits) {
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

TEST(Preemption, LeastLostWorkAndOnlyIfItFreesEnough) {
  Resources four{4, 0, 4}, eight{8, 0, 8};
  std::vector<VictimCandidate> candidates{{four, 50}, {four, 5}, {eight, 20}};
  auto selection = selectVictims({0, 0, 0}, four, candidates);
  ASSERT_TRUE(selection);
  EXPECT_EQ(selection->victims, std::vector<std::size_t>{1});
  selection = selectVictims({0, 0, 0}, eight, candidates);  // 5*4 + 20*8 > 20*8: the small one is spared
  ASSERT_TRUE(selection);
  EXPECT_DOUBLE_EQ(selection->lostCoreSeconds, 160);
  EXPECT_FALSE(selectVictims({0, 0, 0}, {32, 0, 32}, candidates));
  EXPECT_TRUE(selectVictims({4, 0, 4}, four, candidates)->victims.empty());
}

TEST(Autoscaler, RentsTheCheapestThatFitsAndLetsTheDearestGo) {
  Catalog catalog{{"s", {8, 0, 16}, 30, 1, 0.48, 0.13, 30, {Zone{"a"}}},
                  {"l", {32, 0, 128}, 50, 1, 2.18, 0.61, 20, {Zone{"a"}, Zone{"b"}}}};
  ShardFleet f;
  f.spotAllowed = {0, 32, 0, 0, 0, 4, 0, 1, {}, {}};
  auto t = targets(f, catalog, 0, 0);
  auto w = nextScaleOut(f, t, catalog, {});
  ASSERT_TRUE(w);
  EXPECT_TRUE(w->offer.spot);
  EXPECT_EQ(w->offer.type, "s");
  auto none =
      nextScaleOut(f, t, catalog, {{"s", Zone{"a"}, true}, {"l", Zone{"a"}, true}, {"l", Zone{"b"}, true}});
  ASSERT_TRUE(none);
  EXPECT_FALSE(none->offer.spot);  // ordinary when no spot machine is to be had
  f.spotAllowed.ramPerCore = 3;    // now memory decides: the small type holds few tasks
  EXPECT_EQ(nextScaleOut(f, t, catalog, {})->offer.type, "l");
  f.spotAllowed = {};
  f.machines = {{"l", Zone{"a"}, true, 32, true, 60, 0, 100},
                {"l", Zone{"a"}, false, 32, true, 60, 0, 100},
                {"s", Zone{"a"}, false, 8, true, 2, 0, 100}};
  auto go = machineToRelease(f, targets(f, catalog, 0, 0), catalog, 10, 1000);
  ASSERT_TRUE(go);
  EXPECT_EQ(*go, 1U);
  f.machines[1].ageS = 30;  // the cloud charges a minute whatever happens
  EXPECT_NE(machineToRelease(f, targets(f, catalog, 0, 0), catalog, 10, 1000), std::optional<std::size_t>(1));
  f.machines[1].ageS = 100;
  f.onDemandOnly.used = 40;  // all ordinary machines are needed
  EXPECT_NE(machineToRelease(f, targets(f, catalog, 0, 0), catalog, 10, 1000), std::optional<std::size_t>(1));
}

// Guards against a fleet that stays large after a burst: one busy machine a turn, and none while any is idle,
// kept thousands of cores for minutes after their work had ended.
TEST(Autoscaler, EmptiesSeveralBusyMachinesWhenFarTooLarge) {
  Catalog catalog{{"l", {32, 0, 128}, 50, 1, 2.18, 0.61, 20, {Zone{"a"}}}};
  ShardFleet f;
  f.onDemandOnly.used = 160;
  FleetMachine busy{"l", Zone{"a"}, false, 32, true, -1, 8, 100};
  f.machines.assign(30, busy);
  f.machines[0].idleS = 5;
  f.machines[1].pinned = true;
  f.machines[2].usedCores = 1;
  auto t = targets(f, catalog, 0, 0);
  auto chosen = machinesToDrain(f, t, catalog, 60, 4);
  ASSERT_EQ(chosen.size(), 4U);
  EXPECT_EQ(chosen.front(), 2U);  // the least runs there
  EXPECT_EQ(std::count(chosen.begin(), chosen.end(), 0U) + std::count(chosen.begin(), chosen.end(), 1U), 0);
  // Nothing is emptied below what is needed, however many may be.
  auto all = machinesToDrain(f, t, catalog, 60, 20);
  EXPECT_GE(coresOf(f) - 32.0 * static_cast<double>(all.size()), t.total);
  // Near the target, and in a small fleet, one at a time, and none while an idle machine can go.
  f.machines.resize(12, busy);
  f.machines[0].idleS = -1;
  EXPECT_EQ(machinesToDrain(f, t, catalog, 60, 4).size(), 1U);
  f.machines[0].idleS = 5;
  EXPECT_TRUE(machinesToDrain(f, t, catalog, 60, 4).empty());
}

TEST(Settings, SharesAndTimes) {
  world::Deployment d;
  d.types = {};
  auto s = parseSettings(d.settingsJson(1), {});
  EXPECT_EQ(s.controller.value, "loft-1");
  EXPECT_EQ(s.preferredShard(ControllerId{"loft-2"}).value, 2U);
  EXPECT_EQ(s.shardOfTeam(TeamId{"team-1"}).value, 1U);
  // Invariant 6: all of it fits before a cancellation is due.
  EXPECT_LE(inSeconds(s.leaseTtl() + s.grace()) + s.leaseS, s.cancelS - 1);
  EXPECT_EQ(s.blindFor(), s.leaseTtl() + s.grace());
  // "A value of 0 means none": no guarantee, and no limit.
  d.guest = true;
  auto guest = parseSettings(d.settingsJson(1), {}).team(TeamId{"team-guest"})->coreQuota;
  EXPECT_TRUE(std::isinf(guest));
  EXPECT_THROW(parseSettings("{}", {}), SettingsError);
  EXPECT_THROW(parseSettings("nonsense", {}), SettingsError);
  EXPECT_THROW(parseAddress("10.0.0.1"), SettingsError);
  EXPECT_THROW(parseAddress("10.0.0.256:80"), SettingsError);
  EXPECT_THROW(parseAddress("10.0.0.1:0"), SettingsError);
}

// What is written under the limits of now must be writable anew under those announced, and the other way.
TEST(Settings, TheLowerOfTheLimitsOfNowAndLaterHolds) {
  world::Deployment d;
  d.valueKb = 16, d.txnOps = 8, d.writeRps = 80;
  d.nextValueKb = 2, d.nextTxnOps = 24;
  auto s = parseSettings(d.settingsJson(0), {});
  EXPECT_EQ(s.valueBytes, 2048U);
  EXPECT_EQ(s.txnOps, 8U);
  EXPECT_EQ(s.stateWriteRps, 80);
  EXPECT_EQ(s.stateRps, d.rps);
  EXPECT_EQ(parseSettings(d.settingsJson(0, false), {}).valueBytes, std::size_t{16} * 1024);
  d.nextTxnOps = 1;
  EXPECT_THROW(parseSettings(d.settingsJson(0), {}), SettingsError);
}

// Invariants 6 and 16, over deployments of many shapes: whatever a controller that does not know of a
// cancellation answers, and the lease after that by the fastest and slowest clocks, is over within cancel_s.
TEST(Settings, ACancellationMeetsItsTimeWhateverIsAnsweredWithoutKnowingOfIt) {
  constexpr double kDrift = 0.001;  // of two clocks against each other
  for (double lease : {0.5, 3.0, 10.0, 36.0, 45.0, 600.0}) {
    for (double more : {0.0, 0.01, 0.2, 1.0, 2.0, 3.5, 5.0, 8.0, 16.0, 25.0, 30.0, 300.0, 6000.0}) {
      for (int ttlMs : {500, 3'000, 60'000}) {
        world::Deployment d;
        d.leaseS = lease;
        d.cancelS = lease + more;
        Tuning t;
        t.leaseTtl = Duration{ttlMs};
        auto s = parseSettings(d.settingsJson(0), t);
        SCOPED_TRACE(testing::Message() << "lease " << lease << " cancel " << d.cancelS << " ttl " << ttlMs);
        EXPECT_GE(s.leaseTtl(), Duration{500});
        EXPECT_LE(s.leaseTtl(), t.leaseTtl);
        EXPECT_GE(s.grace(), Duration{0});
        EXPECT_GE(s.blindFor(), Duration{0});
        // Who answered last without knowing: a keep-alive proxy or an owner not loaded, blindFor() after what
        // they know; a former owner, the grace after the lease that must be over before another confirms.
        for (auto last : {s.blindFor(), s.grace()}) {
          double rest = inSeconds(last) * (1 + kDrift) + lease * (1 + kDrift);
          // Where there is nothing to part, only the clocks' own error is beyond anyone's reach.
          EXPECT_LE(rest, d.cancelS + (more < 2 * kDrift * d.cancelS ? 2 * kDrift * d.cancelS : 0.0));
        }
        EXPECT_EQ(s.grace(), std::max(s.blindFor() - s.leaseTtl(), Duration{0}));
      }
    }
  }
}

TEST(Admission, WhatCanNeverRun) {
  world::Deployment d;
  auto s = parseSettings(d.settingsJson(0), {});
  Catalog catalog{{"m", {16, 0, 32}, 25, 1, 1, 0.4, 25, {Zone{"a"}, Zone{"b"}}}};
  JobSpec job;
  job.team = TeamId{"team-0"};
  job.each = {4, 0, 4};
  EXPECT_FALSE(neverRuns(job, s, catalog));
  auto bad = [&](auto f) {
    auto j = job;
    f(j);
    return neverRuns(j, s, catalog).has_value();
  };
  EXPECT_TRUE(bad([](auto& j) { j.team = TeamId{"nobody"}; }));
  EXPECT_TRUE(bad([](auto& j) { j.each.ram = 33; }));
  EXPECT_TRUE(bad([](auto& j) { j.types = std::vector<std::string>{"x"}; }));
  EXPECT_TRUE(bad([](auto& j) { j.zone = Zone{"c"}; }));
  EXPECT_TRUE(bad([](auto& j) { j.kind = JobKind::Service, j.tasks = 23; }));
  EXPECT_FALSE(bad([](auto& j) { j.tasks = 23; }));  // an array needs room for one task
  EXPECT_TRUE(bad([](auto& j) { j.spread = j.oneZone = true, j.tasks = 2; }));
}
