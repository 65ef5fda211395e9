// Framing of the PostgreSQL v3 protocol.

#include "wire/pgwire.h"

namespace egrettide::pg
{

namespace
{

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t headerBytes = 5;
constexpr std::uint32_t nullLength = 0xffffffffU;
constexpr std::uint16_t textTypeOid = 25;

std::uint32_t uint32At(std::string_view bytes, std::size_t at)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        value = (value << 8U) | static_cast<unsigned char>(bytes[at + i]);
    }
    return value;
}

Error malformed(std::string text)
{
    return Error{ErrorKind::InvalidInput, std::move(text), milliseconds{0}};
}

} // namespace

std::string Message::bytes() const
{
    std::string out;
    appendMessage(out, type, payload);
    return out;
}

void FrameReader::feed(std::string_view bytes)
{
    compact();
    m_buffer.append(bytes);
}

void FrameReader::compact()
{
    if (m_offset == 0) {
        return;
    }
    m_buffer.erase(0, m_offset);
    m_offset = 0;
}

std::size_t FrameReader::buffered() const
{
    return m_buffer.size() - m_offset;
}

tl::expected<std::optional<StartupMessage>, Error> FrameReader::nextStartup()
{
    if (buffered() < 2 * lengthBytes) {
        return std::nullopt;
    }
    const std::uint32_t length = uint32At(m_buffer, m_offset);
    if (length < 2 * lengthBytes || length > maxStartupBytes) {
        return tl::unexpected(malformed("The startup message has an invalid length; connect with a PostgreSQL v3 driver."));
    }
    if (buffered() < length) {
        return std::nullopt;
    }
    StartupMessage startup;
    startup.code = uint32At(m_buffer, m_offset + lengthBytes);
    PayloadReader reader(std::string_view(m_buffer).substr(m_offset + 2 * lengthBytes, length - 2 * lengthBytes));
    m_offset += length;
    if (startup.code == cancelRequestCode) {
        const auto processId = reader.uint32();
        const auto secretKey = reader.uint32();
        if (!processId || !secretKey) {
            return tl::unexpected(malformed("The cancel request is cut short; send process id and key."));
        }
        startup.processId = *processId;
        startup.secretKey = *secretKey;
        return startup;
    }
    // All minor versions encode their parameters alike.
    if (startup.code >> 16U != protocolVersion3 >> 16U) {
        return startup;
    }
    while (!reader.rest().empty()) {
        const auto name = reader.cString();
        if (!name) {
            return tl::unexpected(
                malformed("The startup message has an unterminated name; connect with a PostgreSQL v3 driver."));
        }
        if (name->empty()) {
            break;
        }
        const auto value = reader.cString();
        if (!value) {
            return tl::unexpected(
                malformed("The startup message has a name without a value; connect with a PostgreSQL v3 driver."));
        }
        startup.parameters.emplace_back(*name, *value);
    }
    return startup;
}

tl::expected<std::optional<Message>, Error> FrameReader::next()
{
    if (buffered() < headerBytes) {
        return std::nullopt;
    }
    const std::uint32_t length = uint32At(m_buffer, m_offset + 1);
    if (length < lengthBytes) {
        return tl::unexpected(malformed("A message has an invalid length; the connection is closed, connect again."));
    }
    if (length > maxMessageBytes) {
        return tl::unexpected(malformed("A message is larger than 16 MiB; send the data in smaller statements."));
    }
    if (buffered() < 1 + static_cast<std::size_t>(length)) {
        return std::nullopt;
    }
    Message message;
    message.type = m_buffer[m_offset];
    message.payload.assign(m_buffer, m_offset + headerBytes, length - lengthBytes);
    m_offset += 1 + static_cast<std::size_t>(length);
    return message;
}

std::optional<std::uint16_t> PayloadReader::uint16()
{
    const auto raw = bytes(2);
    if (!raw) {
        return std::nullopt;
    }
    const auto high = static_cast<unsigned char>((*raw)[0]);
    const auto low = static_cast<unsigned char>((*raw)[1]);
    return static_cast<std::uint16_t>((high << 8U) | low);
}

std::optional<std::uint32_t> PayloadReader::uint32()
{
    const auto raw = bytes(lengthBytes);
    if (!raw) {
        return std::nullopt;
    }
    return uint32At(*raw, 0);
}

std::optional<std::string_view> PayloadReader::cString()
{
    const std::size_t end = m_rest.find('\0');
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view text = m_rest.substr(0, end);
    m_rest.remove_prefix(end + 1);
    return text;
}

std::optional<std::string_view> PayloadReader::bytes(std::size_t count)
{
    if (m_rest.size() < count) {
        return std::nullopt;
    }
    const std::string_view taken = m_rest.substr(0, count);
    m_rest.remove_prefix(count);
    return taken;
}

void appendUint16(std::string &out, std::uint16_t value)
{
    out.push_back(static_cast<char>(value >> 8U));
    out.push_back(static_cast<char>(value & 0xffU));
}

void appendUint32(std::string &out, std::uint32_t value)
{
    for (int shift = 24; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU));
    }
}

void appendCString(std::string &out, std::string_view text)
{
    out.append(text);
    out.push_back('\0');
}

void appendMessage(std::string &out, char type, std::string_view payload)
{
    out.push_back(type);
    appendUint32(out, static_cast<std::uint32_t>(payload.size() + lengthBytes));
    out.append(payload);
}

void appendStartup(std::string &out, const std::vector<std::pair<std::string, std::string>> &parameters)
{
    std::string body;
    appendUint32(body, protocolVersion3);
    for (const auto &[name, value] : parameters) {
        appendCString(body, name);
        appendCString(body, value);
    }
    body.push_back('\0');
    appendUint32(out, static_cast<std::uint32_t>(body.size() + lengthBytes));
    out.append(body);
}

void appendCancelRequest(std::string &out, std::uint32_t processId, std::uint32_t secretKey)
{
    constexpr std::uint32_t cancelBytes = 16;
    appendUint32(out, cancelBytes);
    appendUint32(out, cancelRequestCode);
    appendUint32(out, processId);
    appendUint32(out, secretKey);
}

void appendQuery(std::string &out, std::string_view sql)
{
    std::string payload;
    appendCString(payload, sql);
    appendMessage(out, 'Q', payload);
}

void appendParse(std::string &out, std::string_view name, std::string_view sql, std::string_view parameterTypes)
{
    std::string payload;
    appendCString(payload, name);
    appendCString(payload, sql);
    payload.append(parameterTypes);
    appendMessage(out, 'P', payload);
}

void appendAuthenticationOk(std::string &out)
{
    std::string payload;
    appendUint32(payload, 0);
    appendMessage(out, 'R', payload);
}

void appendAuthenticationCleartext(std::string &out)
{
    constexpr std::uint32_t cleartext = 3;
    std::string payload;
    appendUint32(payload, cleartext);
    appendMessage(out, 'R', payload);
}

void appendParameterStatus(std::string &out, std::string_view name, std::string_view value)
{
    std::string payload;
    appendCString(payload, name);
    appendCString(payload, value);
    appendMessage(out, 'S', payload);
}

void appendBackendKeyData(std::string &out, std::uint32_t processId, std::uint32_t secretKey)
{
    std::string payload;
    appendUint32(payload, processId);
    appendUint32(payload, secretKey);
    appendMessage(out, 'K', payload);
}

void appendReadyForQuery(std::string &out, char state)
{
    appendMessage(out, 'Z', std::string_view(&state, 1));
}

void appendCommandComplete(std::string &out, std::string_view tag)
{
    std::string payload;
    appendCString(payload, tag);
    appendMessage(out, 'C', payload);
}

namespace
{

std::string errorPayload(std::string_view severity, std::string_view sqlState, std::string_view text, std::string_view hint)
{
    std::string payload;
    const auto field = [&payload](char code, std::string_view value) {
        payload.push_back(code);
        appendCString(payload, value);
    };
    field('S', severity);
    field('V', severity);
    field('C', sqlState);
    field('M', text);
    if (!hint.empty()) {
        field('H', hint);
    }
    payload.push_back('\0');
    return payload;
}

} // namespace

void appendErrorResponse(std::string &out, std::string_view sqlState, std::string_view text, std::string_view hint, bool fatal)
{
    appendMessage(out, 'E', errorPayload(fatal ? "FATAL" : "ERROR", sqlState, text, hint));
}

void appendNotice(std::string &out, std::string_view sqlState, std::string_view text)
{
    appendMessage(out, 'N', errorPayload("NOTICE", sqlState, text, {}));
}

void appendRowDescription(std::string &out, const std::vector<std::string> &columns)
{
    std::string payload;
    appendUint16(payload, static_cast<std::uint16_t>(columns.size()));
    for (const std::string &column : columns) {
        appendCString(payload, column);
        appendUint32(payload, 0); // table
        appendUint16(payload, 0); // attribute
        appendUint32(payload, textTypeOid);
        appendUint16(payload, 0xffffU); // variable width
        appendUint32(payload, nullLength); // no type modifier
        appendUint16(payload, 0); // text format
    }
    appendMessage(out, 'T', payload);
}

void appendDataRow(std::string &out, const std::vector<std::optional<std::string>> &values)
{
    std::string payload;
    appendUint16(payload, static_cast<std::uint16_t>(values.size()));
    for (const auto &value : values) {
        if (!value) {
            appendUint32(payload, nullLength);
            continue;
        }
        appendUint32(payload, static_cast<std::uint32_t>(value->size()));
        payload.append(*value);
    }
    appendMessage(out, 'D', payload);
}

ErrorFields parseErrorFields(std::string_view payload)
{
    ErrorFields fields;
    PayloadReader reader(payload);
    while (!reader.rest().empty()) {
        const char code = (*reader.bytes(1))[0];
        if (code == '\0') {
            break;
        }
        const auto value = reader.cString();
        if (!value) {
            break;
        }
        switch (code) {
        case 'S':
            fields.severity = *value;
            break;
        case 'C':
            fields.sqlState = *value;
            break;
        case 'M':
            fields.text = *value;
            break;
        case 'H':
            fields.hint = *value;
            break;
        default:
            break;
        }
    }
    return fields;
}

std::optional<std::vector<std::optional<std::string>>> parseDataRow(std::string_view payload)
{
    PayloadReader reader(payload);
    const auto count = reader.uint16();
    if (!count) {
        return std::nullopt;
    }
    std::vector<std::optional<std::string>> values;
    for (std::uint16_t i = 0; i < *count; ++i) {
        const auto length = reader.uint32();
        if (!length) {
            return std::nullopt;
        }
        if (*length == nullLength) {
            values.emplace_back(std::nullopt);
            continue;
        }
        const auto bytes = reader.bytes(*length);
        if (!bytes) {
            return std::nullopt;
        }
        values.emplace_back(std::string(*bytes));
    }
    return values;
}

} // namespace egrettide::pg
