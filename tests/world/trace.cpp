#include "world/trace.h"

#include <cctype>
#include <iomanip>
#include <ostream>

namespace world {
namespace {

// Quotes and escapes the text, because frames are binary.
void writeQuoted(std::ostream& out, std::string_view text) {
  out << '"';
  for (unsigned char c : text) {
    if (c == '"' || c == '\\')
      out << '\\' << c;
    else if (std::isprint(c) != 0)
      out << c;
    else
      out << "\\x" << std::hex << std::setw(2) << std::setfill('0') << unsigned{c} << std::dec;
  }
  out << '"';
}

}  // namespace

void Trace::request(Ms at, const std::string& from, const std::string& to,
                    const cherryloft::HttpRequest& request) {
  record(at,
         {"request", from, to, request.method, request.target, request.close ? "close" : "", request.body});
}

void Trace::response(Ms at, const std::string& from, const std::string& to,
                     const cherryloft::HttpResponse& response) {
  record(at, {"response", from, to, std::to_string(response.status), std::to_string(response.retryAfterS),
              response.close ? "close" : "", response.body});
}

void Trace::frame(Ms at, const std::string& from, const std::string& to, const std::string& bytes) {
  record(at, {"frame", from, to, bytes});
}

void Trace::taskStarted(Ms at, const std::string& machine, const std::string& job, std::uint32_t index) {
  record(at, {"started", machine, job, std::to_string(index)});
}

void Trace::handleTaskExit(Ms at, const std::string& machine, const std::string& job, std::uint32_t index,
                           bool done) {
  record(at, {"left", machine, job, std::to_string(index), done ? "done" : ""});
}

// Each part is preceded by its length, so that different lists of parts never give the same bytes.
void Trace::record(Ms at, std::initializer_list<std::string_view> parts) {
  if (!enabled_) return;
  ++events_;
  auto add = [this](std::uint64_t number) { digest_.process_bytes(&number, sizeof number); };
  add(static_cast<std::uint64_t>(at));
  for (auto part : parts) {
    add(part.size());
    digest_.process_bytes(part.data(), part.size());
  }
  if (!eventOutput_) return;
  *eventOutput_ << at;
  for (auto part : parts) {
    *eventOutput_ << ' ';
    writeQuoted(*eventOutput_, part);
  }
  *eventOutput_ << '\n';
}

}  // namespace world
