// A digest of everything that an outsider could see of one play: each message between two parties, with its
// virtual time and contents, and each start and end of a task on a machine. Two programs that behave alike
// have equal digests. Log lines and names of C++ code are no part of it.
#pragma once

#include <boost/crc.hpp>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>

#include "net/http.h"
#include "world/clock.h"

namespace world {

class Trace {
 public:
  // Records nothing until it is enabled, as a digest costs time.
  void enable() { enabled_ = true; }
  // Also writes each event to `out`, one a line, to find the first that differs.
  void writeEventsTo(std::ostream* out) { eventOutput_ = out; }
  // Ends the record: what is still said as the world is taken apart is no part of the play.
  void finish() { enabled_ = false; }
  bool enabled() const { return enabled_; }

  void request(Ms at, const std::string& from, const std::string& to, const cherryloft::HttpRequest& request);
  void response(Ms at, const std::string& from, const std::string& to,
                const cherryloft::HttpResponse& response);
  // `bytes`: the encoded frame of one controller to another.
  void frame(Ms at, const std::string& from, const std::string& to, const std::string& bytes);
  void taskStarted(Ms at, const std::string& machine, const std::string& job, std::uint32_t index);
  void taskEnded(Ms at, const std::string& machine, const std::string& job, std::uint32_t index, bool done);

  std::uint64_t digest() const { return digest_.checksum(); }
  std::size_t events() const { return events_; }

 private:
  void record(Ms at, std::initializer_list<std::string_view> parts);

  // ECMA-182, as in xz.
  static constexpr std::uint64_t kPolynomial = 0x42F0E1EBA9EA3693;
  bool enabled_ = false;
  std::ostream* eventOutput_ = nullptr;
  std::size_t events_ = 0;
  boost::crc_optimal<64, kPolynomial, ~std::uint64_t{0}, ~std::uint64_t{0}, true, true> digest_;
};

}  // namespace world
