// HTTP/1.1 messages, an incremental parser for requests and responses, and the encoders.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cherryloft {

struct HttpRequest {
  std::string method;
  std::string target;
  std::string body;
  bool close = false;  // the sender closes the connection after this message
};

struct HttpResponse {
  int status = 0;
  std::string body;
  bool close = false;
  int retryAfterS = 0;  // 0: no Retry-After header
};

// Parses a stream of messages from chunks of any size. After an error the connection must be closed.
class HttpParser {
 public:
  enum class Kind { Request, Response };
  enum class Status { Incomplete, Complete, Malformed, TooLarge };

  HttpParser(Kind kind, std::size_t maxBody) : kind_(kind), maxBody_(maxBody) {}

  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // Parses up to the end of one message; if Complete, it is in request() or response().
  Status next();
  // The peer closed the connection: completes a response without a length, whose body extends to the close.
  Status end();

  HttpRequest& request() { return request_; }
  HttpResponse& response() { return response_; }
  // Between messages, with no bytes of the next one.
  bool idle() const { return state_ == State::Start && buffer_.empty(); }
  std::size_t buffered() const { return buffer_.size(); }

 private:
  enum class State { Start, Headers, Body, ChunkSize, ChunkData, ChunkEnd, Trailers, UntilClose, Failed };

  // Removes the next line from the buffer; nullopt if it is incomplete or too long (lineTooLong_).
  std::optional<std::string> takeLine();
  Status fail(Status status = Status::Malformed);
  Status finishMessage();
  bool parseStartLine(const std::string& line);
  bool parseHeader(const std::string& line);
  // Determines from the headers how the body is delimited.
  Status finishHeaders();
  std::string& body() { return kind_ == Kind::Request ? request_.body : response_.body; }

  Kind kind_;
  std::size_t maxBody_;
  std::string buffer_;
  State state_ = State::Start;
  bool lineTooLong_ = false;
  std::size_t headerBytes_ = 0;
  std::optional<std::uint64_t> contentLength_;
  bool chunked_ = false;
  bool unsupportedCoding_ = false;  // a transfer coding other than chunked
  bool keepAliveHeader_ = false;
  bool http10_ = false;
  std::uint64_t chunkLeft_ = 0;  // bytes of the current chunk not yet received
  HttpRequest request_;
  HttpResponse response_;
};

std::string encodeRequest(const HttpRequest& request, const std::string& host);
std::string encodeResponse(const HttpResponse& response);

}  // namespace cherryloft
