// Limits and parts of JSON texts.

#include "egrettide/core/jsontext.h"

#include <algorithm>

namespace egrettide
{

namespace
{

using nlohmann::json;

constexpr std::string_view blanks = " \t\r\n";

// Walks over a JSON text by its brackets and strings. Accepts more than JSON: the parts are still to
// be parsed.
class Scanner
{
public:
    explicit Scanner(std::string_view text) : m_text(text)
    {
        skipBlanks();
    }

    bool isAtEnd() const
    {
        return m_at == m_text.size();
    }

    // Passes the character and the blanks behind it; returns false at any other one.
    bool take(char expected)
    {
        if (isAtEnd() || m_text[m_at] != expected) {
            return false;
        }
        ++m_at;
        skipBlanks();
        return true;
    }

    // Passes a string and returns it with its quotes; nothing when it does not end.
    std::optional<std::string_view> takeString()
    {
        const std::size_t begin = m_at;
        if (isAtEnd() || m_text[m_at] != '"' || !skipString()) {
            return std::nullopt;
        }
        return taken(begin);
    }

    // Passes a value of any kind; nothing when there is none or its brackets or quotes do not match.
    std::optional<std::string_view> takeValue()
    {
        const std::size_t begin = m_at;
        std::vector<char> open;
        while (!isAtEnd()) {
            const char each = m_text[m_at];
            if (each == '"') {
                if (!skipString()) {
                    return std::nullopt;
                }
                continue;
            }
            if (open.empty() && (each == ',' || each == ']' || each == '}')) {
                break;
            }
            if (each == '[' || each == '{') {
                open.push_back(each == '[' ? ']' : '}');
            } else if (each == ']' || each == '}') {
                if (open.back() != each) {
                    return std::nullopt;
                }
                open.pop_back();
            }
            ++m_at;
        }
        return open.empty() && m_at > begin ? std::optional(taken(begin)) : std::nullopt;
    }

private:
    void skipBlanks()
    {
        m_at = std::min(m_text.find_first_not_of(blanks, m_at), m_text.size());
    }

    bool skipString()
    {
        for (++m_at; !isAtEnd(); ++m_at) {
            if (m_text[m_at] == '\\') {
                ++m_at;
            } else if (m_text[m_at] == '"') {
                ++m_at;
                return true;
            }
        }
        // A backslash at the end of the text leaves the position behind it.
        m_at = m_text.size();
        return false;
    }

    std::string_view taken(std::size_t begin)
    {
        std::string_view part = m_text.substr(begin, m_at - begin);
        part = part.substr(0, part.find_last_not_of(blanks) + 1);
        skipBlanks();
        return part;
    }

    std::string_view m_text;
    std::size_t m_at = 0;
};

} // namespace

std::string_view describe(JsonFault fault)
{
    switch (fault) {
    case JsonFault::TooDeep:
        return "is nested too deeply";
    case JsonFault::NumberOutOfRange:
        return "holds a number out of range";
    case JsonFault::Malformed:
        break;
    }
    return "is no valid JSON";
}

bool isWithinJsonDepth(std::string_view text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char each = text[at];
        if (inString) {
            at += each == '\\' ? 1 : 0;
            inString = each != '"';
        } else if (each == '"') {
            inString = true;
        } else if (each == '[' || each == '{') {
            if (++depth > maxJsonDepth) {
                return false;
            }
        } else if ((each == ']' || each == '}') && depth > 0) {
            --depth;
        }
    }
    return true;
}

tl::expected<json, JsonFault> parseJson(std::string_view text)
{
    if (!isWithinJsonDepth(text)) {
        return tl::unexpected(JsonFault::TooDeep);
    }
    try {
        return json::parse(text);
    } catch (const json::out_of_range &) {
        return tl::unexpected(JsonFault::NumberOutOfRange);
    } catch (const json::parse_error &) {
        return tl::unexpected(JsonFault::Malformed);
    }
}

std::optional<std::vector<std::string_view>> elementsOfJson(std::string_view array)
{
    Scanner scanner(array);
    std::vector<std::string_view> elements;
    if (!scanner.take('[')) {
        return std::nullopt;
    }
    if (!scanner.take(']')) {
        do {
            const auto element = scanner.takeValue();
            if (!element) {
                return std::nullopt;
            }
            elements.push_back(*element);
        } while (scanner.take(','));
        if (!scanner.take(']')) {
            return std::nullopt;
        }
    }
    return scanner.isAtEnd() ? std::optional(std::move(elements)) : std::nullopt;
}

std::optional<std::vector<JsonMember>> membersOfJson(std::string_view object)
{
    Scanner scanner(object);
    std::vector<JsonMember> members;
    if (!scanner.take('{')) {
        return std::nullopt;
    }
    if (!scanner.take('}')) {
        do {
            const auto name = scanner.takeString();
            const bool hasValue = name && scanner.take(':');
            const auto value = hasValue ? scanner.takeValue() : std::nullopt;
            if (!value) {
                return std::nullopt;
            }
            members.push_back({name->substr(1, name->size() - 2), *value});
        } while (scanner.take(','));
        if (!scanner.take('}')) {
            return std::nullopt;
        }
    }
    return scanner.isAtEnd() ? std::optional(std::move(members)) : std::nullopt;
}

std::string_view memberOf(const std::vector<JsonMember> &members, std::string_view name)
{
    const auto found = std::ranges::find(members.rbegin(), members.rend(), name, &JsonMember::name);
    return found == members.rend() ? std::string_view() : found->value;
}

} // namespace egrettide
