// Interface through which actors use time, timers and the network. Implemented with libev in production and
// with a virtual clock in tests.
#pragma once

#include <functional>

#include "mesh/messages.h"
#include "net/client.h"

namespace cherryloft {

class Runtime {
 public:
  virtual ~Runtime() = default;
  virtual Time now() const = 0;
  virtual WallTime wall() const = 0;
  // Runs the callback once after the delay.
  virtual void after(Duration delay, std::function<void()> callback) = 0;
  // Sends an HTTP request. Invokes done exactly once, at the latest when the deadline expires.
  virtual void call(const Address& to, HttpRequest request, Duration deadline, HttpCallback done) = 0;
  // Sends a frame to another controller, without guaranteed delivery.
  virtual void mesh(std::uint32_t to, const mesh::Frame& frame) = 0;
  // Resets the outgoing connection to another controller, to be called when it appears to be stalled.
  virtual void resetPeerConnection(std::uint32_t to) = 0;
};

}  // namespace cherryloft
