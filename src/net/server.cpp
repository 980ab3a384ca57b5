#include "net/server.h"

namespace cherryloft {
namespace {
constexpr Duration kSlowRequest{10'000};  // a request must be whole within this
constexpr Duration kIdle{75'000};
constexpr Duration kSweep{1'000};
}  // namespace

HttpServer::HttpServer(Loop& loop, Log log, int listenFd, std::size_t maxConnections, Handler handler,
                       IsWorker isWorker)
    : loop_(loop),
      log_(std::move(log)),
      max_(maxConnections),
      handler_(std::move(handler)),
      isWorker_(std::move(isWorker)),
      listener_(loop, listenFd, [this](int fd) { accepted(fd); }) {
  sweep();
}

void HttpServer::accepted(int fd) {
  if (connections_.size() >= max_) makeRoom();
  auto c = std::make_shared<Connection>();
  c->stream = std::make_shared<Stream>(loop_, fd, false);
  c->since = loop_.now();
  connections_.push_back(c);
  std::weak_ptr<Connection> weak = c;
  c->stream->start(
      [this, weak](std::string_view bytes) {
        auto p = weak.lock();
        if (!p || p->closing) return;
        if (p->parser.idle()) p->since = loop_.now();
        p->parser.feed(bytes);
        received(p);
      },
      [this, weak] {
        if (auto p = weak.lock()) drop(p);
      });
}

void HttpServer::received(const Ptr& c) {
  if (c->busy) return;
  switch (c->parser.next()) {
    case HttpParser::Status::More:
      return;
    case HttpParser::Status::Ready:
      break;
    case HttpParser::Status::TooLarge:
      c->closing = true;
      return answer(c, {400, R"({"error":"body too large"})", true, 0});
    case HttpParser::Status::Bad:
      c->closing = true;
      return answer(c, {400, R"({"error":"malformed request"})", true, 0});
  }
  c->busy = true;
  c->closing = c->parser.request().close;
  c->worker = isWorker_(c->parser.request());
  c->since = loop_.now();
  std::weak_ptr<Connection> weak = c;
  handler_(std::move(c->parser.request()),
           [this, weak, number = ++c->request, alive = std::weak_ptr<bool>(alive_)](HttpResponse r) {
             auto p = weak.lock();
             if (!alive.lock() || !p || !p->busy || p->request != number) return;
             answer(p, std::move(r));
           });
}

void HttpServer::answer(const Ptr& c, HttpResponse r) {
  r.close = r.close || c->closing;
  c->busy = false;
  c->since = loop_.now();
  c->stream->send(encodeResponse(r));
  if (r.close) {
    c->closing = true;
    c->stream->finish();
  } else if (!c->parser.idle()) {
    // Bytes of a next request are here already; a turn of its own keeps the stack flat.
    std::weak_ptr<Connection> weak = c;
    loop_.after(Duration{0}, [this, weak, alive = std::weak_ptr<bool>(alive_)] {
      auto p = weak.lock();
      if (alive.lock() && p && !p->busy && !p->closing) received(p);
    });
  }
}

void HttpServer::drop(const Ptr& c) {
  c->stream->close();
  connections_.remove(c);
}

void HttpServer::makeRoom() {
  // The longest idle user first, then any user; workers keep their connections (and with them their leases).
  Ptr victim;
  for (const auto& c : connections_) {
    if (c->worker) continue;
    if (!victim || std::pair(c->busy, c->since) < std::pair(victim->busy, victim->since)) victim = c;
  }
  if (!victim) victim = connections_.front();
  drop(victim);
}

void HttpServer::sweep() {
  auto now = loop_.now();
  std::vector<Ptr> old;
  for (const auto& c : connections_) {
    bool partial = !c->busy && !c->parser.idle();
    if ((partial && now - c->since > kSlowRequest) || (!c->busy && now - c->since > kIdle) ||
        (c->closing && now - c->since > kSlowRequest))
      old.push_back(c);
  }
  for (const auto& c : old) drop(c);
  loop_.after(kSweep, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.lock()) sweep();
  });
}

}  // namespace cherryloft
