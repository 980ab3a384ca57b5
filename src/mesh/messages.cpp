#include "mesh/messages.h"

#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>

namespace cherryloft::mesh {

std::string encode(const Frame& f) {
  std::ostringstream out(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(f);
  }
  return out.str();
}

std::optional<Frame> decode(const std::string& bytes) {
  try {
    std::istringstream in(bytes, std::ios::binary);
    cereal::PortableBinaryInputArchive archive(in);
    Frame f;
    archive(f);
    return f;
  } catch (const std::exception&) {  // cereal throws, and a wild length may fail to allocate
    return std::nullopt;
  }
}

}  // namespace cherryloft::mesh
