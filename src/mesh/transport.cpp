#include "mesh/transport.h"

namespace cherryloft::mesh {
namespace {
constexpr std::size_t kMaxFrameBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kMaxQueuedBytes = std::size_t{1024} * 1024;
constexpr std::size_t kMaxInboundConnections = 64;
constexpr Duration kConnectTimeout{1000};
constexpr Duration kSendStallTimeout{2500};

// With the length as four bytes, big endian, in front.
std::string withLengthPrefix(const std::string& bytes) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8)
    out.push_back(static_cast<char>((bytes.size() >> shift) & 0xff));
  return out + bytes;
}
}  // namespace

Transport::Transport(Loop& loop, int listenFd, std::vector<Address> addresses, std::uint32_t self,
                     FrameHandler onFrame)
    : loop_(loop),
      addresses_(std::move(addresses)),
      self_(self),
      onFrame_(std::move(onFrame)),
      outbound_(addresses_.size()),
      listener_(loop, listenFd, [this](int fd) { accept(fd); }) {}

void Transport::send(std::uint32_t to, const Frame& frame) {
  if (to >= outbound_.size() || to == self_) return;
  auto& link = outbound_[to];
  auto now = loop_.now();
  if (link.stream && link.stream->open()) {
    // A network partition makes the connection stall without an error. Reconnect, so that queued frames do
    // not delay the ones after them.
    if (link.stream->queued() == 0) link.blockedSince = now;
    bool connectTimedOut = !link.stream->connected() && now - link.openedAt > kConnectTimeout;
    if (connectTimedOut || now - link.blockedSince > kSendStallTimeout ||
        link.stream->queued() > kMaxQueuedBytes) {
      reset(to);
    }
  }
  if (!link.stream || !link.stream->open()) {
    int fd = connectTo(addresses_[to]);
    if (fd < 0) return;
    link.stream = std::make_shared<Stream>(loop_, fd, true);
    link.openedAt = link.blockedSince = now;
    link.stream->start([](std::string_view) {}, [] {});
  }
  link.stream->send(withLengthPrefix(encode(frame)));
}

void Transport::reset(std::uint32_t to) {
  if (auto& stream = outbound_[to].stream) stream->close();
  outbound_[to].stream.reset();
}

void Transport::accept(int fd) {
  auto stream = std::make_shared<Stream>(loop_, fd, false);
  if (inbound_.size() >= kMaxInboundConnections) {
    inbound_.front()->close();
    inbound_.pop_front();
  }
  inbound_.push_back(stream);
  auto buffer = std::make_shared<std::string>();
  std::weak_ptr<Stream> weak = stream;
  auto drop = [this, weak] {
    auto closing = weak.lock();
    if (!closing) return;
    closing->close();
    inbound_.remove(closing);
  };
  stream->start(
      [this, buffer, drop](std::string_view bytes) {
        buffer->append(bytes);
        if (!consumeFrames(*buffer)) drop();
      },
      drop);
}

bool Transport::consumeFrames(std::string& buffer) {
  std::size_t position = 0;
  while (buffer.size() - position >= 4) {
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i)
      length = length << 8 | static_cast<unsigned char>(buffer[position + static_cast<std::size_t>(i)]);
    if (length > kMaxFrameBytes) return false;
    if (buffer.size() - position - 4 < length) break;
    auto frame = decode(buffer.substr(position + 4, length));
    if (!frame) return false;
    position += 4 + length;
    onFrame_(*frame);
  }
  buffer.erase(0, position);
  return true;
}

}  // namespace cherryloft::mesh
