#include "net/http.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace cherryloft {
namespace {

constexpr std::size_t kMaxLine = std::size_t{8} * 1024;
constexpr std::size_t kMaxHeaders = std::size_t{32} * 1024;

std::string lower(std::string_view s) {
  std::string out(s);
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return std::tolower(c); });
  return out;
}

std::string_view trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

template <class T>
bool number(std::string_view s, T& out, int base = 10) {
  auto [p, ec] = std::from_chars(s.data(), s.data() + s.size(), out, base);
  return !s.empty() && ec == std::errc{} && p == s.data() + s.size();
}

bool isToken(std::string_view s) {
  return !s.empty() && std::all_of(s.begin(), s.end(), [](unsigned char c) {
    return std::isalnum(c) ||
           std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
  });
}

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

}  // namespace

std::optional<std::string> HttpParser::line() {
  auto at = buffer_.find('\n');
  if (at == std::string::npos) {
    lineTooLong_ = buffer_.size() > kMaxLine;
    return std::nullopt;
  }
  lineTooLong_ = at > kMaxLine;
  if (lineTooLong_) return std::nullopt;
  std::string l = buffer_.substr(0, at);
  buffer_.erase(0, at + 1);
  if (!l.empty() && l.back() == '\r') l.pop_back();
  headerBytes_ += at + 1;
  return l;
}

HttpParser::Status HttpParser::fail(Status why) {
  state_ = State::Failed;
  return why;
}

HttpParser::Status HttpParser::finish() {
  state_ = State::Start;
  return Status::Ready;
}

bool HttpParser::startLine(const std::string& l) {
  headerBytes_ = 0;
  length_.reset();
  chunked_ = otherCoding_ = keepAlive10_ = http10_ = false;
  request_ = {};
  response_ = {};
  auto first = l.find(' ');
  if (first == std::string::npos) return false;
  if (kind_ == Kind::Request) {
    auto last = l.rfind(' ');
    if (last == first) return false;
    request_.method = l.substr(0, first);
    request_.target = l.substr(first + 1, last - first - 1);
    auto version = std::string_view(l).substr(last + 1);
    http10_ = version == "HTTP/1.0";
    return isToken(request_.method) && !request_.target.empty() && request_.target[0] == '/' &&
           request_.target.find(' ') == std::string::npos && (http10_ || version == "HTTP/1.1");
  }
  auto version = std::string_view(l).substr(0, first);
  http10_ = version == "HTTP/1.0";
  return (http10_ || version == "HTTP/1.1") && l.size() >= first + 4 &&
         number(std::string_view(l).substr(first + 1, 3), response_.status) && response_.status >= 100;
}

bool HttpParser::header(const std::string& l) {
  auto colon = l.find(':');
  if (colon == std::string::npos || !isToken(std::string_view(l).substr(0, colon))) return false;
  auto name = lower(std::string_view(l).substr(0, colon));
  auto value = trim(std::string_view(l).substr(colon + 1));
  if (name == "content-length") {
    std::uint64_t n = 0;
    if (!number(value, n) || (length_ && *length_ != n)) return false;
    length_ = n;
  } else if (name == "transfer-encoding") {
    if (chunked_ || otherCoding_) return false;
    (lower(value) == "chunked" ? chunked_ : otherCoding_) = true;
  } else if (name == "connection") {
    auto v = lower(value);
    if (v.find("close") != std::string::npos) request_.close = response_.close = true;
    if (v.find("keep-alive") != std::string::npos) keepAlive10_ = true;
  } else if (name == "retry-after") {
    int n = 0;
    if (number(value, n) && n > 0) response_.retryAfterS = n;
  }
  return true;
}

HttpParser::Status HttpParser::headersDone() {
  if (http10_ && !keepAlive10_) request_.close = response_.close = true;
  if (otherCoding_ || (chunked_ && length_)) return fail();
  if (kind_ == Kind::Response &&
      (response_.status < 200 || response_.status == 204 || response_.status == 304)) {
    if (response_.status < 200) {  // an interim response is followed by the real one
      state_ = State::Start;
      return Status::More;
    }
    return finish();
  }
  if (chunked_) {
    state_ = State::ChunkSize;
  } else if (length_) {
    if (*length_ > maxBody_) return fail(Status::TooLarge);
    state_ = State::Body;
  } else if (kind_ == Kind::Response) {
    state_ = State::UntilClose;
  } else {
    return finish();
  }
  return Status::More;
}

HttpParser::Status HttpParser::next() {
  for (;;) {
    switch (state_) {
      case State::Failed:
        return Status::Bad;
      case State::Start: {
        auto l = line();
        if (!l) return lineTooLong_ ? fail() : Status::More;
        if (l->empty()) continue;  // stray line ends between messages are allowed
        if (!startLine(*l)) return fail();
        state_ = State::Headers;
        break;
      }
      case State::Headers: {
        auto l = line();
        if (!l) return lineTooLong_ ? fail() : Status::More;
        if (headerBytes_ > kMaxHeaders) return fail();
        if (!l->empty()) {
          if (!header(*l)) return fail();
          break;
        }
        if (auto s = headersDone(); s != Status::More) return s;
        break;
      }
      case State::Body:
        if (buffer_.size() < *length_) return Status::More;
        body() = buffer_.substr(0, *length_);
        buffer_.erase(0, *length_);
        return finish();
      case State::ChunkSize: {
        auto l = line();
        if (!l) return lineTooLong_ ? fail() : Status::More;
        if (!number(trim(std::string_view(*l).substr(0, l->find(';'))), chunkLeft_, 16)) return fail();
        if (chunkLeft_ > maxBody_ || body().size() + chunkLeft_ > maxBody_) return fail(Status::TooLarge);
        state_ = chunkLeft_ == 0 ? State::Trailers : State::ChunkData;
        break;
      }
      case State::ChunkData: {
        auto n = std::min<std::uint64_t>(chunkLeft_, buffer_.size());
        body().append(buffer_, 0, n);
        buffer_.erase(0, n);
        chunkLeft_ -= n;
        if (chunkLeft_ > 0) return Status::More;
        state_ = State::ChunkEnd;
        break;
      }
      case State::ChunkEnd: {
        auto l = line();
        if (!l) return lineTooLong_ ? fail() : Status::More;
        if (!l->empty()) return fail();
        state_ = State::ChunkSize;
        break;
      }
      case State::Trailers: {
        auto l = line();
        if (!l) return lineTooLong_ ? fail() : Status::More;
        if (headerBytes_ > kMaxHeaders) return fail();
        if (l->empty()) return finish();
        break;
      }
      case State::UntilClose:
        body() += buffer_;
        buffer_.clear();
        if (body().size() > maxBody_) return fail(Status::TooLarge);
        return Status::More;
    }
  }
}

HttpParser::Status HttpParser::end() {
  if (state_ != State::UntilClose) return Status::Bad;
  response_.close = true;
  return finish();
}

std::string encodeRequest(const HttpRequest& r, const std::string& host) {
  std::string out = r.method + " " + r.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
  if (!r.body.empty() || r.method == "POST") {
    out += "Content-Type: application/json\r\nContent-Length: " + std::to_string(r.body.size()) + "\r\n";
  }
  return out + "\r\n" + r.body;
}

std::string encodeResponse(const HttpResponse& r) {
  std::string out = "HTTP/1.1 " + std::to_string(r.status) + " " + reason(r.status) +
                    "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(r.body.size()) +
                    "\r\n";
  if (r.retryAfterS > 0) out += "Retry-After: " + std::to_string(r.retryAfterS) + "\r\n";
  if (r.close) out += "Connection: close\r\n";
  return out + "\r\n" + r.body;
}

}  // namespace cherryloft
