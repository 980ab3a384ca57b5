// Base of a Runtime on a virtual clock, for tests of single actors. Tests implement call().
#pragma once

#include "runtime/runtime.h"
#include "world/clock.h"

namespace cherryloft {

struct VirtualClockRuntime : Runtime {
  world::Clock clock{1};
  Time now() const override { return Time{Duration{clock.now() + 5000}}; }
  WallTime wall() const override { return {clock.now()}; }
  void after(Duration delay, std::function<void()> callback) override {
    clock.after(delay.count(), std::move(callback));
  }
  void mesh(std::uint32_t, const mesh::Frame&) override {}
  void resetPeerConnection(std::uint32_t) override {}
};

}  // namespace cherryloft
