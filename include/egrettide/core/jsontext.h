// Reads JSON that another program wrote: within limits, and in parts, so that a fault in one part
// leaves the others readable.

#pragma once

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace egrettide
{

// Why a text was not accepted.
enum class JsonFault {
    // Nested deeper than maxJsonDepth.
    TooDeep,
    // A number that neither 64 bits nor a double can hold.
    NumberOutOfRange,
    // Not JSON, or text that is not UTF-8.
    Malformed,
};

// A phrase for messages, such as "is nested too deeply". Contains nothing of the text.
std::string_view describe(JsonFault fault);

// The JSON library parses and destroys values iteratively, but serializes, copies and compares them
// by recursion, so a deep value overflows the stack long after it was parsed.
constexpr std::size_t maxJsonDepth = 64;

// Returns false when arrays and objects of the text are nested deeper than maxJsonDepth.
bool isWithinJsonDepth(std::string_view text);

// Parses a whole text. The value can be copied, compared and serialized without risk.
tl::expected<nlohmann::json, JsonFault> parseJson(std::string_view text);

// A member of an object. Both parts are views into the object's text.
struct JsonMember {
    // As written, without its quotes.
    std::string_view name;
    std::string_view value;
};

// Splits an array or an object into its parts, without parsing these and at any depth. Return nothing
// when the text is no array or no object, or when brackets or quotes in it do not match.
std::optional<std::vector<std::string_view>> elementsOfJson(std::string_view array);
std::optional<std::vector<JsonMember>> membersOfJson(std::string_view object);

// The last member of that name; empty when there is none.
std::string_view memberOf(const std::vector<JsonMember> &members, std::string_view name);

} // namespace egrettide
