// Length-prefixed frames over TCP: one connection to each sibling for what we say, any number from them.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <vector>

#include "config/settings.h"
#include "mesh/messages.h"
#include "net/tcp.h"

namespace cherryloft::mesh {

class Transport {
 public:
  using Received = std::function<void(const Frame&)>;
  // addresses: by controller number; our own entry is unused.
  Transport(Loop& loop, int listenFd, std::vector<Address> addresses, std::uint32_t self, Received received);
  // Sends to a neighbour; what cannot leave soon is dropped, as a deadline stands behind every ask.
  void send(std::uint32_t to, const Frame& f);
  // Gives up the connection for what we say to that neighbour; the next frame opens another.
  void reset(std::uint32_t to);

 private:
  struct Link {
    std::shared_ptr<Stream> stream;
    Time opened{};
    Time blockedSince{};
  };
  void accepted(int fd);
  bool feed(std::string& buffer);

  Loop& loop_;
  std::vector<Address> addresses_;
  std::uint32_t self_;
  Received received_;
  std::vector<Link> links_;
  std::list<std::shared_ptr<Stream>> inbound_;
  Listener listener_;
};

}  // namespace cherryloft::mesh
