#include "mesh/transport.h"

namespace cherryloft::mesh {
namespace {
constexpr std::size_t kMaxFrame = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kMaxQueued = std::size_t{1024} * 1024;
constexpr std::size_t kMaxInbound = 64;
constexpr Duration kConnectPatience{1000};
constexpr Duration kStuck{2500};

std::string framed(const std::string& bytes) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8)
    out.push_back(static_cast<char>((bytes.size() >> shift) & 0xff));
  return out + bytes;
}
}  // namespace

Transport::Transport(Loop& loop, int listenFd, std::vector<Address> addresses, std::uint32_t self,
                     Received received)
    : loop_(loop),
      addresses_(std::move(addresses)),
      self_(self),
      received_(std::move(received)),
      links_(addresses_.size()),
      listener_(loop, listenFd, [this](int fd) { accepted(fd); }) {}

void Transport::send(std::uint32_t to, const Frame& f) {
  if (to >= links_.size() || to == self_) return;
  auto& link = links_[to];
  auto now = loop_.now();
  if (link.stream && link.stream->open()) {
    // A cut shows as silence: start over, so that what is held back does not block what comes after.
    if (link.stream->queued() == 0) link.blockedSince = now;
    bool slowConnect = !link.stream->connected() && now - link.opened > kConnectPatience;
    if (slowConnect || now - link.blockedSince > kStuck || link.stream->queued() > kMaxQueued) {
      reset(to);
    }
  }
  if (!link.stream || !link.stream->open()) {
    int fd = connectTo(addresses_[to]);
    if (fd < 0) return;
    link.stream = std::make_shared<Stream>(loop_, fd, true);
    link.opened = link.blockedSince = now;
    link.stream->start([](std::string_view) {}, [] {});
  }
  link.stream->send(framed(encode(f)));
}

void Transport::reset(std::uint32_t to) {
  if (auto& s = links_[to].stream) s->close();
  links_[to].stream.reset();
}

void Transport::accepted(int fd) {
  auto s = std::make_shared<Stream>(loop_, fd, false);
  if (inbound_.size() >= kMaxInbound) {
    inbound_.front()->close();
    inbound_.pop_front();
  }
  inbound_.push_back(s);
  auto buffer = std::make_shared<std::string>();
  std::weak_ptr<Stream> weak = s;
  auto drop = [this, weak] {
    auto p = weak.lock();
    if (!p) return;
    p->close();
    inbound_.remove(p);
  };
  s->start(
      [this, buffer, drop](std::string_view bytes) {
        buffer->append(bytes);
        if (!feed(*buffer)) drop();
      },
      drop);
}

bool Transport::feed(std::string& buffer) {
  std::size_t at = 0;
  while (buffer.size() - at >= 4) {
    std::size_t n = 0;
    for (int i = 0; i < 4; ++i)
      n = n << 8 | static_cast<unsigned char>(buffer[at + static_cast<std::size_t>(i)]);
    if (n > kMaxFrame) return false;
    if (buffer.size() - at - 4 < n) break;
    auto frame = decode(buffer.substr(at + 4, n));
    if (!frame) return false;
    at += 4 + n;
    received_(*frame);
  }
  buffer.erase(0, at);
  return true;
}

}  // namespace cherryloft::mesh
