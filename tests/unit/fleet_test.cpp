// What the leader asks of the cloud.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "actors/fleet.h"
#include "world/world.h"

using namespace cherryloft;

namespace {

// Its own time; nobody answers anything.
struct LoneIo : Io {
  world::Clock clock{1};
  std::vector<HttpRequest> sent;
  Time now() const override { return Time{Duration{clock.now() + 5000}}; }
  WallTime wall() const override { return {clock.now()}; }
  void after(Duration d, std::function<void()> f) override { clock.after(d.count(), std::move(f)); }
  void call(const Address&, HttpRequest r, Duration, HttpDone) override { sent.push_back(std::move(r)); }
  void mesh(std::uint32_t, const mesh::Frame&) override {}
  void remesh(std::uint32_t) override {}
};

struct Leader : testing::Test {
  Settings settings = parseSettings(world::Deployment{}.settingsOf(0), {});
  LoneIo io;
  StateStore store{settings, io, silentLog(), 1};
  Directory dir;
  Fleet fleet{settings, io, silentLog(), store, dir, 1, {[](const mesh::HostWish&) {}, [] { return true; }}};

  Leader() {
    dir.leader = KnownOwner{{settings.node, Epoch{7}}, Stamp{70}};
    MachineType t;
    t.name = "m";
    t.size = {16, 0, 32};
    t.price = t.spotPrice = 1;
    t.bootS = 5;
    t.zones = settings.zones;
    dir.catalog = {t};
    fleet.start();
  }
  void lead(world::Ms forMs) {
    fleet.leading(true);
    for (auto end = io.clock.now() + forMs; io.clock.now() < end;) {
      mesh::ShareLoad l;
      l.firm.waiting = 64;
      l.firm.largestTask = 4;
      l.firm.runS = 30;
      fleet.load(l);
      io.clock.run(io.clock.now() + 1000);
    }
    fleet.leading(false);
  }
  std::vector<std::string> claims() const {
    std::vector<std::string> out;
    for (const auto& r : sent("/hosts")) out.push_back(nlohmann::json::parse(r.body)["claim"]);
    return out;
  }
  std::vector<HttpRequest> sent(const std::string& path) const {
    std::vector<HttpRequest> out;
    for (const auto& r : io.sent)
      if (r.target == path && r.method == "POST") out.push_back(r);
    return out;
  }
};

}  // namespace

// A hold that went unheard and lives on makes the same controller lead again under the same epoch.
TEST_F(Leader, NoClaimIsUsedTwiceInOneEpoch) {
  lead(10'000);
  auto before = claims();
  ASSERT_FALSE(before.empty());
  lead(10'000);
  auto all = claims();
  ASSERT_GT(all.size(), before.size());
  EXPECT_EQ(std::set<std::string>(all.begin(), all.end()).size(), all.size());
}
