// Percent-encoding of names in the targets of HTTP requests.

#pragma once

#include <string>
#include <string_view>

namespace egrettide
{

// Encodes all but unreserved characters and slashes. Unencoded, a blank or a line end in a name would
// end the target, or the request.
inline std::string urlEscaped(std::string_view text)
{
    constexpr std::string_view hexDigits = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool plain = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9')
            || byte == '-' || byte == '_' || byte == '.' || byte == '~' || byte == '/';
        if (plain) {
            result += c;
            continue;
        }
        result += '%';
        result += hexDigits[byte >> 4];
        result += hexDigits[byte & 0xF];
    }
    return result;
}

} // namespace egrettide
