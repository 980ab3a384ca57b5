// Plain TCP over IPv4: opening sockets, and a buffered stream.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "config/settings.h"
#include "net/loop.h"

namespace cherryloft {

// Listening socket, or -1 with errno set.
int listenOn(const Address& at);
// The same, but an address that is in use is tried again: another process's outgoing connection may have been
// given our port for its own, or a former process of ours may not be gone yet.
int listenWithRetries(const Address& at, unsigned tries, const std::function<void()>& pause);
// A socket that is connecting, or -1.
int connectTo(const Address& to);
// The pending error of a socket, 0 for none.
int socketError(int fd);

// Reads into a sink and writes what is queued. It reports its end once and does nothing afterwards.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  using Sink = std::function<void(std::string_view)>;
  using Ended = std::function<void()>;

  Stream(Loop& loop, int fd, bool connecting);
  void start(Sink sink, Ended ended, std::function<void()> connected = {});
  // Hands a running stream to another user.
  void react(Sink sink, Ended ended);
  void send(std::string bytes);
  // Ends once all that is queued is written.
  void finish();
  void close();
  bool open() const { return socket_ != nullptr; }
  bool connected() const { return !connecting_; }
  std::size_t queued() const { return callbacks_.size() - written_; }

 private:
  void ready(int events);
  void flush();
  void end();
  void interest();

  Loop& loop_;
  std::unique_ptr<Socket> socket_;
  int fd_;
  bool connecting_;
  bool finishing_ = false;
  std::string callbacks_;
  std::size_t written_ = 0;
  Sink sink_;
  Ended ended_;
  std::function<void()> connected_;
};

class Listener {
 public:
  using Accepted = std::function<void(int fd)>;
  Listener(Loop& loop, int fd, Accepted accepted);

 private:
  std::unique_ptr<Socket> socket_;
  Accepted accepted_;
};

}  // namespace cherryloft
