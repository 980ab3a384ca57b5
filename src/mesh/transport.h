// Length-prefixed frames over TCP: one outbound connection per sibling, any number of inbound ones.
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
  using FrameHandler = std::function<void(const Frame&)>;
  // addresses: indexed by controller number; the entry of this controller is unused.
  Transport(Loop& loop, int listenFd, std::vector<Address> addresses, std::uint32_t self,
            FrameHandler onFrame);
  // Sends a frame to a sibling. Frames that cannot be sent soon are dropped: every request has a deadline.
  void send(std::uint32_t to, const Frame& frame);
  // Closes the outbound connection to that sibling; the next frame opens a new one.
  void reset(std::uint32_t to);

 private:
  struct Link {
    std::shared_ptr<Stream> stream;
    Time openedAt{};
    Time blockedSince{};
  };
  void accept(int fd);
  // Handles and removes all complete frames in the buffer; false if it holds an invalid one.
  bool consumeFrames(std::string& buffer);

  Loop& loop_;
  std::vector<Address> addresses_;
  std::uint32_t self_;
  FrameHandler onFrame_;
  std::vector<Link> outbound_;
  std::list<std::shared_ptr<Stream>> inbound_;
  Listener listener_;
};

}  // namespace cherryloft::mesh
