#include "net/tcp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace cherryloft {
namespace {

sockaddr_in toSockaddr(const Address& a) {
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_port = htons(a.port);
  ::inet_pton(AF_INET, a.ip.c_str(), &sa.sin_addr);
  return sa;
}

int newSocket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

void noDelay(int fd) {
  int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

}  // namespace

int listenOn(const Address& at) {
  int fd = newSocket();
  if (fd < 0) return -1;
  int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  auto sa = toSockaddr(at);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&sa), sizeof sa) == 0 && ::listen(fd, 512) == 0) return fd;
  int why = errno;
  ::close(fd);
  errno = why;
  return -1;
}

int listenWithRetries(const Address& at, unsigned tries, const std::function<void()>& pause) {
  for (;;) {
    int fd = listenOn(at);
    if (fd >= 0 || errno != EADDRINUSE || --tries == 0) return fd;
    pause();
  }
}

int connectTo(const Address& to) {
  int fd = newSocket();
  if (fd < 0) return -1;
  noDelay(fd);
  auto sa = toSockaddr(to);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&sa), sizeof sa) == 0 || errno == EINPROGRESS) return fd;
  ::close(fd);
  return -1;
}

int socketError(int fd) {
  int err = 0;
  socklen_t len = sizeof err;
  if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) != 0) return errno;
  return err;
}

Stream::Stream(Loop& loop, int fd, bool connecting) : loop_(loop), fd_(fd), connecting_(connecting) {}

void Stream::start(Sink sink, Ended ended, std::function<void()> connected) {
  sink_ = std::move(sink);
  ended_ = std::move(ended);
  connected_ = std::move(connected);
  std::weak_ptr<Stream> weak = weak_from_this();
  socket_ = std::make_unique<Socket>(loop_, fd_, [weak](int events) {
    if (auto self = weak.lock()) self->ready(events);
  });
  interest();
}

void Stream::react(Sink sink, Ended ended) {
  sink_ = std::move(sink);
  ended_ = std::move(ended);
}

void Stream::interest() {
  if (!socket_) return;
  if (connecting_)
    socket_->watch(EV_WRITE);
  else
    socket_->watch(EV_READ | (queued() > 0 ? EV_WRITE : 0));
}

void Stream::ready(int events) {
  if (connecting_) {
    if (socketError(fd_) != 0) return end();
    connecting_ = false;
    if (connected_) connected_();
    if (!socket_) return;
    flush();
    return;
  }
  if (events & EV_WRITE) flush();
  if (!socket_ || !(events & EV_READ)) return;
  char buffer[16 * 1024];
  for (int turns = 0; turns < 8 && socket_; ++turns) {
    auto n = ::recv(fd_, buffer, sizeof buffer, 0);
    if (n > 0) {
      auto sink = sink_;  // a copy: the reaction may put another in its place
      sink(std::string_view(buffer, static_cast<std::size_t>(n)));
      if (static_cast<std::size_t>(n) < sizeof buffer) return;
    } else if (n < 0 && errno == EINTR) {
      continue;
    } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      return;
    } else {
      return end();
    }
  }
}

void Stream::send(std::string bytes) {
  if (!socket_) return;
  if (queued() == 0) {
    callbacks_ = std::move(bytes);
    written_ = 0;
  } else {
    callbacks_ += bytes;
  }
  if (!connecting_) flush();
}

void Stream::flush() {
  while (socket_ && queued() > 0) {
    auto n = ::send(fd_, callbacks_.data() + written_, queued(), MSG_NOSIGNAL);
    if (n > 0) {
      written_ += static_cast<std::size_t>(n);
    } else if (n < 0 && errno == EINTR) {
      continue;
    } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      break;
    } else {
      return end();
    }
  }
  if (queued() == 0) {
    callbacks_.clear();
    written_ = 0;
    if (finishing_) return end();
  }
  interest();
}

void Stream::finish() {
  finishing_ = true;
  if (queued() == 0) end();
}

void Stream::close() {
  ended_ = {};
  socket_.reset();
}

void Stream::end() {
  if (!socket_) return;
  socket_.reset();
  if (auto f = std::move(ended_)) f();
}

Listener::Listener(Loop& loop, int fd, Accepted accepted) : accepted_(std::move(accepted)) {
  socket_ = std::make_unique<Socket>(loop, fd, [this](int) {
    for (int i = 0; i < 64; ++i) {
      int c = ::accept4(socket_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (c < 0) return;
      noDelay(c);
      accepted_(c);
    }
  });
  socket_->watch(EV_READ);
}

}  // namespace cherryloft
