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
    const auto* load = std::get_if<ShardLoad>(&frame.payload);
    if (load && load->details) archive(*load->details);
  }
  return out.str();
}

std::optional<Frame> decode(const std::string& bytes) {
  try {
    std::istringstream in(bytes, std::ios::binary);
    cereal::PortableBinaryInputArchive archive(in);
    Frame frame;
    archive(frame);
    auto* load = std::get_if<ShardLoad>(&frame.payload);
    bool moreBytes = in.peek() != std::istringstream::traits_type::eof();
    if (load && moreBytes) archive(load->details.emplace());
    return frame;
  } catch (
      const std::exception&) {  // cereal throws on malformed input; a corrupt length may also throw bad_alloc
    return std::nullopt;
  }
}

}  // namespace cherryloft::mesh
