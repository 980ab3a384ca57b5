// Parsing of untrusted JSON without exceptions.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace cherryloft::wire {

using Json = nlohmann::json;

// Returns nullopt when the text is not JSON or is nested too deeply.
std::optional<Json> parse(const std::string& text);

// A member by name; nullopt when it is absent, null or of another type.
std::optional<std::string> stringField(const Json& object, const char* name);
std::optional<double> numberField(const Json& object, const char* name);
std::optional<std::uint64_t> unsignedField(const Json& object, const char* name);
std::optional<bool> boolField(const Json& object, const char* name);
// The array by that name; an empty one when it is absent or of another type.
const Json& arrayField(const Json& object, const char* name);

std::string dump(const Json& json);

}  // namespace cherryloft::wire
