// Reading JSON from outside parties without ever throwing past the codec.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace cherryloft::wire {

using Json = nlohmann::json;

// Nothing when the text is not JSON, or nested beyond reason.
std::optional<Json> parse(const std::string& text);

// Members by name; nothing when absent, null or of another kind.
std::optional<std::string> stringField(const Json& object, const char* name);
std::optional<double> numberField(const Json& object, const char* name);
std::optional<std::uint64_t> unsignedField(const Json& object, const char* name);
std::optional<bool> boolField(const Json& object, const char* name);
// The list by that name, or an empty one.
const Json& arrayField(const Json& object, const char* name);

std::string dump(const Json& json);

}  // namespace cherryloft::wire
