// The client of the state service under more requests than its rate limits can bear.
#include "kvstore/key_value_store.h"

#include <gtest/gtest.h>

#include "world/world.h"

using namespace cherryloft;

namespace {

// Time stands still. Calls are counted and never answered; what was scheduled without delay runs when asked.
struct FrozenRuntime : Runtime {
  std::vector<std::function<void()>> scheduled;
  std::size_t calls = 0;
  Time now() const override { return Time{Duration{5000}}; }
  WallTime wall() const override { return {1}; }
  void after(Duration delay, std::function<void()> task) override {
    if (delay == Duration{0}) scheduled.push_back(std::move(task));
  }
  void call(const Address&, HttpRequest, Duration, HttpDone) override { ++calls; }
  void mesh(std::uint32_t, const mesh::Frame&) override {}
  void remesh(std::uint32_t) override {}
};

}  // namespace

TEST(KeyValueStore, FailsUserReadsBeyondItsRateLimitAtOnce) {
  world::Deployment deployment;
  deployment.rps = 101;
  auto settings = parseSettings(deployment.settingsJson(0), {});
  FrozenRuntime runtime;
  KeyValueStore store(settings, runtime, silentLog(), 1);
  int failed = 0;
  for (int read = 0; read < 1000; ++read)
    store.get(RequestPriority::User, "job/x", Duration{1000},
              [&](const GetResult& result) { failed += result.outcome == GetResult::Outcome::Failed; });
  for (auto& task : runtime.scheduled) task();
  // A third of the service's requests of one second are sent, as many again wait.
  EXPECT_EQ(runtime.calls, 30U);
  EXPECT_EQ(failed, 1000 - 30 - 31);
}
