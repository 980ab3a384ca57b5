// An Io in virtual time for tests of single actors: who answers calls, and how, is the test's.
#pragma once

#include "runtime/runtime.h"
#include "world/clock.h"

namespace cherryloft {

struct VirtualClockRuntime : Runtime {
  world::Clock clock{1};
  Time now() const override { return Time{Duration{clock.now() + 5000}}; }
  WallTime wall() const override { return {clock.now()}; }
  void after(Duration d, std::function<void()> f) override { clock.after(d.count(), std::move(f)); }
  void mesh(std::uint32_t, const mesh::Frame&) override {}
  void resetPeerConnection(std::uint32_t) override {}
};

}  // namespace cherryloft
