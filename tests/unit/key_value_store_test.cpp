// The way to the state service under more questions than its budget can bear.
#include <gtest/gtest.h>

#include "kvstore/key_value_store.h"
#include "world/world.h"

using namespace cherryloft;

namespace {

// Time stands; what is to happen at once happens when asked for.
struct StillIo : Runtime {
  std::vector<std::function<void()>> immediate;
  std::size_t calls = 0;
  Time now() const override { return Time{Duration{5000}}; }
  WallTime wall() const override { return {1}; }
  void after(Duration d, std::function<void()> f) override {
    if (d == Duration{0}) immediate.push_back(std::move(f));
  }
  void call(const Address&, HttpRequest, Duration, HttpDone) override { ++calls; }
  void mesh(std::uint32_t, const mesh::Frame&) override {}
  void remesh(std::uint32_t) override {}
};

}  // namespace

TEST(Store, QuestionsBeyondTheBudgetAreAnsweredAtOnce) {
  world::Deployment d;
  d.rps = 101;
  auto settings = parseSettings(d.settingsOf(0), {});
  StillIo runtime;
  KeyValueStore store(settings, runtime, silentLog(), 1);
  int failed = 0;
  for (int i = 0; i < 1000; ++i)
    store.get(RequestPriority::User, "job/x", Duration{1000},
              [&](GetResult r) { failed += r.outcome == GetResult::Outcome::Failed; });
  for (auto& f : runtime.immediate) f();
  // A third of the service's part for one second is sent, as much again waits.
  EXPECT_EQ(runtime.calls, 30U);
  EXPECT_EQ(failed, 1000 - 30 - 31);
}
