// What actors may ask of the outside world. libev answers in production, a virtual clock in tests.
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
  virtual void after(Duration d, std::function<void()> f) = 0;
  // Always ends in one call of done, at the latest when the deadline is over.
  virtual void call(const Address& to, HttpRequest request, Duration deadline, HttpCallback done) = 0;
  // To a neighbour; may be lost.
  virtual void mesh(std::uint32_t to, const mesh::Frame& f) = 0;
  // The connection for what we say to that neighbour seems stuck: start over.
  virtual void remesh(std::uint32_t to) = 0;
};

}  // namespace cherryloft
