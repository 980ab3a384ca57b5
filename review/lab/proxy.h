// A TCP proxy for one direction between two controllers: frames that one sends to the other.
#pragma once

#include <list>

#include "base.h"
#include "net/tcp.h"

namespace lab {

class Proxy {
 public:
  enum class Mode { Pass, Hold, Refuse };  // Hold: bytes are kept and delivered when the cut ends
  Proxy(Env& env, Address to) : env_(env), to_(std::move(to)) {
    int fd = listenAnywhere();
    address = addressOf(fd);
    listener_ = std::make_unique<cherryloft::Listener>(env.loop, fd, [this](int accepted) { accept(accepted); });
  }
  Address address;
  void set(Mode mode) {
    mode_ = mode;
    if (mode == Mode::Refuse) {
      for (auto& pair : pairs_) {
        pair->in->close();
        if (pair->out) pair->out->close();
      }
      pairs_.clear();
    }
    if (mode == Mode::Pass)
      for (auto& pair : pairs_) flush(*pair);
  }

 private:
  struct Pair {
    std::shared_ptr<Stream> in, out;
    std::string kept;
    bool ended = false;  // the sender closed; what it sent before is still delivered
  };
  void accept(int fd) {
    if (mode_ == Mode::Refuse) {
      ::close(fd);
      return;
    }
    auto pair = std::make_shared<Pair>();
    pair->in = std::make_shared<Stream>(env_.loop, fd, false);
    pairs_.push_back(pair);
    std::weak_ptr<Pair> weak = pair;
    pair->in->start(
        [this, weak](std::string_view bytes) {
          auto open = weak.lock();
          if (!open) return;
          open->kept.append(bytes);
          if (mode_ == Mode::Pass) flush(*open);
        },
        [this, weak] {
          auto open = weak.lock();
          if (!open) return;
          open->ended = true;
          if (mode_ == Mode::Pass) flush(*open);
        });
  }
  void flush(Pair& pair) {
    if (!pair.out) {
      int fd = cherryloft::connectTo(to_);
      if (fd < 0) return;
      pair.out = std::make_shared<Stream>(env_.loop, fd, true);
      pair.out->start([](std::string_view) {}, [in = std::weak_ptr<Stream>(pair.in)] {
        if (auto stream = in.lock()) stream->close();
      });
    }
    if (!pair.kept.empty()) pair.out->send(std::exchange(pair.kept, {}));
    if (pair.ended) pair.out->closeAfterWrite();
  }

  Env& env_;
  Address to_;
  Mode mode_ = Mode::Pass;
  std::unique_ptr<cherryloft::Listener> listener_;
  std::list<std::shared_ptr<Pair>> pairs_;
};

}  // namespace lab
