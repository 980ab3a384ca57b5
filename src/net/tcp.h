// TCP over IPv4: opening sockets, a listener and a buffered stream.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "config/settings.h"
#include "net/loop.h"

namespace cherryloft {

// Returns a listening socket, or -1 with errno set.
int listenOn(const Address& address);
// Like listenOn, but retries while the address is in use, pausing before each retry: the port may be the
// ephemeral port of another process's outgoing connection, or the previous controller process may not have
// exited yet.
int listenWithRetries(const Address& address, unsigned tries, const std::function<void()>& pause);
// Starts a non-blocking connect; returns the socket, or -1.
int connectTo(const Address& to);
// The socket's pending error (SO_ERROR), 0 for none.
int socketError(int fd);

// A buffered, non-blocking stream: passes received bytes to a handler and writes queued ones. When the
// connection ends it calls the close handler once and does nothing afterwards.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  using DataHandler = std::function<void(std::string_view)>;
  using CloseHandler = std::function<void()>;

  Stream(Loop& loop, int fd, bool connecting);
  void start(DataHandler onData, CloseHandler onClose, std::function<void()> onConnect = {});
  // Replaces the handlers of a started stream.
  void setHandlers(DataHandler onData, CloseHandler onClose);
  void send(std::string bytes);
  // Closes once all queued bytes are written.
  void closeAfterWrite();
  // Closes at once, without calling the close handler.
  void close();
  bool open() const { return socket_ != nullptr; }
  bool connected() const { return !connecting_; }
  std::size_t queued() const { return output_.size() - written_; }

 private:
  void onReady(int events);
  void flush();
  void end();
  void updateWatchedEvents();

  Loop& loop_;
  std::unique_ptr<Socket> socket_;
  int fd_;
  bool connecting_;
  bool closeAfterWrite_ = false;
  std::string output_;       // queued bytes
  std::size_t written_ = 0;  // of output_
  DataHandler onData_;
  CloseHandler onClose_;
  std::function<void()> onConnect_;
};

class Listener {
 public:
  using AcceptHandler = std::function<void(int fd)>;
  Listener(Loop& loop, int fd, AcceptHandler onAccept);

 private:
  std::unique_ptr<Socket> socket_;
  AcceptHandler onAccept_;
};

}  // namespace cherryloft
