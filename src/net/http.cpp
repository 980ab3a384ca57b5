#include "net/http.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace cherryloft {
namespace {

constexpr std::size_t kMaxLineBytes = std::size_t{8} * 1024;
constexpr std::size_t kMaxHeaderBytes = std::size_t{32} * 1024;

std::string toLower(std::string_view s) {
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
bool parseNumber(std::string_view s, T& out, int base = 10) {
  auto [p, ec] = std::from_chars(s.data(), s.data() + s.size(), out, base);
  return !s.empty() && ec == std::errc{} && p == s.data() + s.size();
}

bool isToken(std::string_view s) {
  return !s.empty() && std::all_of(s.begin(), s.end(), [](unsigned char c) {
    return std::isalnum(c) ||
           std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
  });
}

const char* reasonPhrase(int status) {
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

std::optional<std::string> HttpParser::takeLine() {
  auto lineEnd = buffer_.find('\n');
  if (lineEnd == std::string::npos) {
    lineTooLong_ = buffer_.size() > kMaxLineBytes;
    return std::nullopt;
  }
  lineTooLong_ = lineEnd > kMaxLineBytes;
  if (lineTooLong_) return std::nullopt;
  std::string line = buffer_.substr(0, lineEnd);
  buffer_.erase(0, lineEnd + 1);
  if (!line.empty() && line.back() == '\r') line.pop_back();
  headerBytes_ += lineEnd + 1;
  return line;
}

HttpParser::Status HttpParser::fail(Status status) {
  state_ = State::Failed;
  return status;
}

HttpParser::Status HttpParser::finishMessage() {
  state_ = State::Start;
  return Status::Complete;
}

bool HttpParser::parseStartLine(const std::string& line) {
  headerBytes_ = 0;
  contentLength_.reset();
  chunked_ = unsupportedCoding_ = keepAliveHeader_ = http10_ = false;
  request_ = {};
  response_ = {};
  auto firstSpace = line.find(' ');
  if (firstSpace == std::string::npos) return false;
  if (kind_ == Kind::Request) {
    auto lastSpace = line.rfind(' ');
    if (lastSpace == firstSpace) return false;
    request_.method = line.substr(0, firstSpace);
    request_.target = line.substr(firstSpace + 1, lastSpace - firstSpace - 1);
    auto version = std::string_view(line).substr(lastSpace + 1);
    http10_ = version == "HTTP/1.0";
    return isToken(request_.method) && !request_.target.empty() && request_.target[0] == '/' &&
           request_.target.find(' ') == std::string::npos && (http10_ || version == "HTTP/1.1");
  }
  auto version = std::string_view(line).substr(0, firstSpace);
  http10_ = version == "HTTP/1.0";
  return (http10_ || version == "HTTP/1.1") && line.size() >= firstSpace + 4 &&
         parseNumber(std::string_view(line).substr(firstSpace + 1, 3), response_.status) &&
         response_.status >= 100;
}

bool HttpParser::parseHeader(const std::string& line) {
  auto colon = line.find(':');
  if (colon == std::string::npos || !isToken(std::string_view(line).substr(0, colon))) return false;
  auto name = toLower(std::string_view(line).substr(0, colon));
  auto value = trim(std::string_view(line).substr(colon + 1));
  if (name == "content-length") {
    std::uint64_t n = 0;
    if (!parseNumber(value, n) || (contentLength_ && *contentLength_ != n)) return false;
    contentLength_ = n;
  } else if (name == "transfer-encoding") {
    if (chunked_ || unsupportedCoding_) return false;
    (toLower(value) == "chunked" ? chunked_ : unsupportedCoding_) = true;
  } else if (name == "connection") {
    auto v = toLower(value);
    if (v.find("close") != std::string::npos) request_.close = response_.close = true;
    if (v.find("keep-alive") != std::string::npos) keepAliveHeader_ = true;
  } else if (name == "retry-after") {
    int n = 0;
    if (parseNumber(value, n) && n > 0) response_.retryAfterS = n;
  }
  return true;
}

HttpParser::Status HttpParser::finishHeaders() {
  if (http10_ && !keepAliveHeader_) request_.close = response_.close = true;
  if (unsupportedCoding_ || (chunked_ && contentLength_)) return fail();
  if (kind_ == Kind::Response &&
      (response_.status < 200 || response_.status == 204 || response_.status == 304)) {
    if (response_.status < 200) {  // an interim response precedes the final one
      state_ = State::Start;
      return Status::Incomplete;
    }
    return finishMessage();
  }
  if (chunked_) {
    state_ = State::ChunkSize;
  } else if (contentLength_) {
    if (*contentLength_ > maxBody_) return fail(Status::TooLarge);
    state_ = State::Body;
  } else if (kind_ == Kind::Response) {
    state_ = State::UntilClose;
  } else {
    return finishMessage();
  }
  return Status::Incomplete;
}

HttpParser::Status HttpParser::next() {
  for (;;) {
    switch (state_) {
      case State::Failed:
        return Status::Malformed;
      case State::Start: {
        auto line = takeLine();
        if (!line) return lineTooLong_ ? fail() : Status::Incomplete;
        if (line->empty()) continue;  // empty lines between messages are tolerated
        if (!parseStartLine(*line)) return fail();
        state_ = State::Headers;
        break;
      }
      case State::Headers: {
        auto line = takeLine();
        if (!line) return lineTooLong_ ? fail() : Status::Incomplete;
        if (headerBytes_ > kMaxHeaderBytes) return fail();
        if (!line->empty()) {
          if (!parseHeader(*line)) return fail();
          break;
        }
        if (auto s = finishHeaders(); s != Status::Incomplete) return s;
        break;
      }
      case State::Body:
        if (buffer_.size() < *contentLength_) return Status::Incomplete;
        body() = buffer_.substr(0, *contentLength_);
        buffer_.erase(0, *contentLength_);
        return finishMessage();
      case State::ChunkSize: {
        auto line = takeLine();
        if (!line) return lineTooLong_ ? fail() : Status::Incomplete;
        if (!parseNumber(trim(std::string_view(*line).substr(0, line->find(';'))), chunkLeft_, 16))
          return fail();
        if (chunkLeft_ > maxBody_ || body().size() + chunkLeft_ > maxBody_) return fail(Status::TooLarge);
        state_ = chunkLeft_ == 0 ? State::Trailers : State::ChunkData;
        break;
      }
      case State::ChunkData: {
        auto n = std::min<std::uint64_t>(chunkLeft_, buffer_.size());
        body().append(buffer_, 0, n);
        buffer_.erase(0, n);
        chunkLeft_ -= n;
        if (chunkLeft_ > 0) return Status::Incomplete;
        state_ = State::ChunkEnd;
        break;
      }
      case State::ChunkEnd: {
        auto line = takeLine();
        if (!line) return lineTooLong_ ? fail() : Status::Incomplete;
        if (!line->empty()) return fail();
        state_ = State::ChunkSize;
        break;
      }
      case State::Trailers: {
        auto line = takeLine();
        if (!line) return lineTooLong_ ? fail() : Status::Incomplete;
        if (headerBytes_ > kMaxHeaderBytes) return fail();
        if (line->empty()) return finishMessage();
        break;
      }
      case State::UntilClose:
        body() += buffer_;
        buffer_.clear();
        if (body().size() > maxBody_) return fail(Status::TooLarge);
        return Status::Incomplete;
    }
  }
}

HttpParser::Status HttpParser::end() {
  if (state_ != State::UntilClose) return Status::Malformed;
  response_.close = true;
  return finishMessage();
}

std::string encodeRequest(const HttpRequest& request, const std::string& host) {
  std::string out = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
  if (!request.body.empty() || request.method == "POST") {
    out +=
        "Content-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return out + "\r\n" + request.body;
}

std::string encodeResponse(const HttpResponse& response) {
  std::string out =
      "HTTP/1.1 " + std::to_string(response.status) + " " + reasonPhrase(response.status) +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) +
      "\r\n";
  if (response.retryAfterS > 0) out += "Retry-After: " + std::to_string(response.retryAfterS) + "\r\n";
  if (response.close) out += "Connection: close\r\n";
  return out + "\r\n" + response.body;
}

}  // namespace cherryloft
