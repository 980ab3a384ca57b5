#include "net/tcp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace cherryloft {
namespace {

sockaddr_in toSockaddr(const Address& address) {
  sockaddr_in sa{};
  sa.sin_family = AF_INET;
  sa.sin_port = htons(address.port);
  ::inet_pton(AF_INET, address.ip.c_str(), &sa.sin_addr);
  return sa;
}

int newSocket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

void setNoDelay(int fd) {
  int enable = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
}

}  // namespace

int listenOn(const Address& address) {
  int fd = newSocket();
  if (fd < 0) return -1;
  int enable = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
  auto sa = toSockaddr(address);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&sa), sizeof sa) == 0 && ::listen(fd, 512) == 0) return fd;
  int error = errno;
  ::close(fd);
  errno = error;
  return -1;
}

int listenWithRetries(const Address& address, unsigned tries, const std::function<void()>& pause) {
  for (;;) {
    int fd = listenOn(address);
    if (fd >= 0 || errno != EADDRINUSE || --tries == 0) return fd;
    pause();
  }
}

int connectTo(const Address& to) {
  int fd = newSocket();
  if (fd < 0) return -1;
  setNoDelay(fd);
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

void Stream::start(DataHandler onData, CloseHandler onClose, std::function<void()> onConnect) {
  onData_ = std::move(onData);
  onClose_ = std::move(onClose);
  onConnect_ = std::move(onConnect);
  std::weak_ptr<Stream> weak = weak_from_this();
  socket_ = std::make_unique<Socket>(loop_, fd_, [weak](int events) {
    if (auto self = weak.lock()) self->onReady(events);
  });
  updateWatchedEvents();
}

void Stream::setHandlers(DataHandler onData, CloseHandler onClose) {
  onData_ = std::move(onData);
  onClose_ = std::move(onClose);
}

void Stream::updateWatchedEvents() {
  if (!socket_) return;
  if (connecting_)
    socket_->watch(EV_WRITE);
  else
    socket_->watch(EV_READ | (queued() > 0 ? EV_WRITE : 0));
}

void Stream::onReady(int events) {
  if (connecting_) {
    if (socketError(fd_) != 0) return end();
    connecting_ = false;
    if (onConnect_) onConnect_();
    if (!socket_) return;
    flush();
    return;
  }
  if (events & EV_WRITE) flush();
  if (!socket_ || !(events & EV_READ)) return;
  char buffer[16 * 1024];
  for (int reads = 0; reads < 8 && socket_; ++reads) {
    auto n = ::recv(fd_, buffer, sizeof buffer, 0);
    if (n > 0) {
      auto handler = onData_;  // a copy: the handler may replace itself
      handler(std::string_view(buffer, static_cast<std::size_t>(n)));
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
    output_ = std::move(bytes);
    written_ = 0;
  } else {
    output_ += bytes;
  }
  if (!connecting_) flush();
}

void Stream::flush() {
  while (socket_ && queued() > 0) {
    auto n = ::send(fd_, output_.data() + written_, queued(), MSG_NOSIGNAL);
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
    output_.clear();
    written_ = 0;
    if (closeAfterWrite_) return end();
  }
  updateWatchedEvents();
}

void Stream::closeAfterWrite() {
  closeAfterWrite_ = true;
  if (queued() == 0) end();
}

void Stream::close() {
  onClose_ = {};
  socket_.reset();
}

void Stream::end() {
  if (!socket_) return;
  socket_.reset();
  if (auto handler = std::move(onClose_)) handler();
}

Listener::Listener(Loop& loop, int fd, AcceptHandler onAccept) : onAccept_(std::move(onAccept)) {
  socket_ = std::make_unique<Socket>(loop, fd, [this](int) {
    for (int i = 0; i < 64; ++i) {
      int accepted = ::accept4(socket_->fd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (accepted < 0) return;
      setNoDelay(accepted);
      onAccept_(accepted);
    }
  });
  socket_->watch(EV_READ);
}

}  // namespace cherryloft
