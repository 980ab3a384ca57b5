#include "net/client.h"

namespace cherryloft {

HttpClient::~HttpClient() {
  for (auto& [_, call] : calls_) call->stream->close();
  for (auto& k : idle_) k.stream->close();
}

std::shared_ptr<Stream> HttpClient::takeIdle(const Address& to) {
  for (auto it = idle_.end(); it != idle_.begin();) {
    --it;
    if (it->to != to) continue;
    auto s = it->stream;
    idle_.erase(it);
    return s;
  }
  return nullptr;
}

void HttpClient::call(const Address& to, HttpRequest request, Duration deadline, HttpCallback done) {
  if (calls_.size() >= maxCalls_ && vital_.count(to) == 0)
    return loop_.after(Duration{0}, [done = std::move(done)] { done({HttpResult::Outcome::NotSent, {}}); });
  auto call = std::make_shared<Call>();
  call->to = to;
  call->done = std::move(done);
  bool fresh = false;
  call->stream = takeIdle(to);
  if (!call->stream) {
    int fd = connectTo(to);
    if (fd < 0) {
      loop_.after(Duration{0}, [done = std::move(call->done)] { done({HttpResult::Outcome::NotSent, {}}); });
      return;
    }
    call->stream = std::make_shared<Stream>(loop_, fd, true);
    fresh = true;
  }
  calls_[call.get()] = call;
  std::weak_ptr<Call> weak = call;
  // A connection that never came about carried nothing, and never will.
  auto lost = [this, weak] {
    if (auto c = weak.lock())
      settle(c, {c->stream->connected() ? HttpResult::Outcome::Unknown : HttpResult::Outcome::NotSent, {}});
  };
  auto ended = [this, weak, lost] {
    auto c = weak.lock();
    if (c && c->parser.end() == HttpParser::Status::Ready)
      settle(c, {HttpResult::Outcome::Answered, std::move(c->parser.response())});
    else
      lost();
  };
  auto sink = [this, weak](std::string_view bytes) {
    if (auto c = weak.lock()) received(c, bytes);
  };
  if (fresh)
    call->stream->start(sink, ended);
  else
    call->stream->react(sink, ended);
  call->stream->send(encodeRequest(request, to.text()));
  loop_.after(deadline, lost);
}

void HttpClient::received(const CallPtr& call, std::string_view bytes) {
  call->parser.feed(bytes);
  switch (call->parser.next()) {
    case HttpParser::Status::More:
      return;
    case HttpParser::Status::Ready:
      return settle(call, {HttpResult::Outcome::Answered, std::move(call->parser.response())});
    default:
      return settle(call, {HttpResult::Outcome::Unknown, {}});
  }
}

void HttpClient::settle(const CallPtr& call, HttpResult result) {
  if (calls_.erase(call.get()) == 0) return;
  auto stream = call->stream;
  if (result.outcome == HttpResult::Outcome::Answered && !result.response.close && call->parser.idle())
    keep(call->to, stream);
  else
    stream->close();
  call->done(std::move(result));
}

void HttpClient::keep(const Address& to, std::shared_ptr<Stream> stream) {
  std::size_t same = 0;
  for (const auto& k : idle_) same += k.to == to;
  if (same >= maxIdlePerAddress_ || !stream->open()) return stream->close();
  if (idle_.size() >= maxIdle_) {
    idle_.front().stream->close();
    idle_.pop_front();
  }
  auto drop = [this, raw = stream.get()] {
    idle_.remove_if([raw](const Kept& k) {
      if (k.stream.get() == raw) k.stream->close();
      return k.stream.get() == raw;
    });
  };
  // A kept connection that speaks or ends by itself is of no more use.
  stream->react([drop](std::string_view) { drop(); }, drop);
  idle_.push_back({to, std::move(stream)});
}

}  // namespace cherryloft
