// A digest of the externally visible behaviour of one run: each message between two processes with its
// virtual time and contents, and each start and end of a task on a machine. Equal behaviour gives equal
// digests; log lines and names in the C++ code do not affect them.
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
  // Nothing is recorded until enabled, because computing the digest takes time.
  void enable() { enabled_ = true; }
  // Also writes each event to `out`, one per line, so that the first difference can be found.
  void writeEventsTo(std::ostream* out) { eventOutput_ = out; }
  // Stops recording: messages sent while the world is torn down are not part of the run.
  void finish() { enabled_ = false; }
  bool enabled() const { return enabled_; }

  void request(Ms at, const std::string& from, const std::string& to, const cherryloft::HttpRequest& request);
  void response(Ms at, const std::string& from, const std::string& to,
                const cherryloft::HttpResponse& response);
  // `bytes`: the encoded frame between two controllers.
  void frame(Ms at, const std::string& from, const std::string& to, const std::string& bytes);
  void taskStarted(Ms at, const std::string& machine, const std::string& job, std::uint32_t index);
  void handleTaskExit(Ms at, const std::string& machine, const std::string& job, std::uint32_t index,
                      bool done);

  std::uint64_t digest() const { return digest_.checksum(); }
  std::size_t events() const { return events_; }

 private:
  void record(Ms at, std::initializer_list<std::string_view> parts);

  // CRC-64 of ECMA-182, as in xz.
  static constexpr std::uint64_t kPolynomial = 0x42F0E1EBA9EA3693;
  bool enabled_ = false;
  std::ostream* eventOutput_ = nullptr;
  std::size_t events_ = 0;
  boost::crc_optimal<64, kPolynomial, ~std::uint64_t{0}, ~std::uint64_t{0}, true, true> digest_;
};

}  // namespace world
