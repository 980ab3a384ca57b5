#include "mesh/messages.h"

#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>

namespace cherryloft::mesh {

std::string encode(const Frame& frame) {
  std::ostringstream out(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(frame);
  }
  return out.str();
}

std::optional<Frame> decode(const std::string& bytes) {
  try {
    std::istringstream in(bytes, std::ios::binary);
    cereal::PortableBinaryInputArchive archive(in);
    Frame frame;
    archive(frame);
    return frame;
  } catch (
      const std::exception&) {  // cereal throws on malformed input; a corrupt length may also throw bad_alloc
    return std::nullopt;
  }
}

}  // namespace cherryloft::mesh
