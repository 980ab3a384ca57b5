// What a watch cache of the state service shows when answers come late and out of order.
#include <gtest/gtest.h>

#include "kvstore/key_value_store.h"
#include "world/world.h"

using namespace cherryloft;

namespace {

// Keeps every request for the test to answer when it likes; time stands.
struct AnsweringRuntime : Runtime {
  struct Call {
    std::string target;
    HttpDone done;
  };
  std::vector<Call> calls;
  Time now() const override { return Time{Duration{5000}}; }
  WallTime wall() const override { return {1}; }
  void after(Duration, std::function<void()>) override {}
  void call(const Address&, HttpRequest request, Duration, HttpDone done) override {
    calls.push_back({request.target, std::move(done)});
  }
  void mesh(std::uint32_t, const mesh::Frame&) override {}
  void remesh(std::uint32_t) override {}
  void answer(std::size_t n, const std::string& body) {
    auto done = calls.at(n).done;
    done({HttpResult::Outcome::Answered, {200, body, false, 0}});
  }
};

struct WatchCacheTest : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsJson(0), {});
  AnsweringRuntime runtime;
  KeyValueStore store{settings, runtime, silentLog(), 1};
  std::set<std::string> shown;

  // Calls 0 and 1 are the first list and the first watch.
  void begin(const std::string& entries) {
    store.watch("node/", [this](const wire::KeyChange& change) {
      if (change.value)
        shown.insert(change.key);
      else
        shown.erase(change.key);
    });
    runtime.answer(0, R"({"entries":[)" + entries + R"(],"truncated":false,"ledger_rev":4})");
  }
};

}  // namespace

TEST_F(WatchCacheTest, LateAnswerDoesNotBringBackADeletedKey) {
  begin("");
  store.waitUntilCurrent("node/", [](CatchUp) {});
  ASSERT_EQ(runtime.calls.size(), 3U);
  runtime.answer(
      2, R"({"ledger_rev":7,"news":[{"write":"node/x","value":{},"stamp":5},{"drop":"node/x","stamp":7}]})");
  EXPECT_TRUE(shown.empty());
  runtime.answer(1, R"({"ledger_rev":5,"news":[{"write":"node/x","value":{},"stamp":5}]})");
  EXPECT_TRUE(shown.empty());
}

TEST_F(WatchCacheTest, OldListDoesNotDeleteANewerKey) {
  begin("");
  store.waitUntilCurrent("node/", [](CatchUp) {});
  // The watch is too old and all is read anew; the list is as old as its first page.
  auto tooOld = runtime.calls.at(1).done;
  tooOld({HttpResult::Outcome::Answered, {410, "{}", false, 0}});
  ASSERT_EQ(runtime.calls.size(), 4U);
  runtime.answer(2, R"({"ledger_rev":9,"news":[{"write":"node/x","value":{},"stamp":9}]})");
  EXPECT_EQ(shown.size(), 1U);
  runtime.answer(3, R"({"entries":[],"truncated":false,"ledger_rev":8})");
  EXPECT_EQ(shown.size(), 1U);
}
