// Framing of the PostgreSQL v3 protocol: splits a byte stream into messages without
// interpreting their payloads, and builds the messages that a server or a client sends.

#pragma once

#include "egrettide/core/error.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace egrettide::pg
{

// Larger messages are refused, since messages are buffered and one caller could exhaust
// the memory of the host.
constexpr std::size_t maxMessageBytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t maxStartupBytes = 10000;

constexpr std::uint32_t protocolVersion3 = 196608;
constexpr std::uint32_t sslRequestCode = 80877103;
constexpr std::uint32_t gssRequestCode = 80877104;
constexpr std::uint32_t cancelRequestCode = 80877102;

// One message; `payload` excludes the type byte and the length.
struct Message {
    char type = 0;
    std::string payload;

    // The encoded message.
    std::string bytes() const;
};

// The first message of a connection, which has no type byte.
struct StartupMessage {
    std::uint32_t code = 0;
    // For protocol version 3: user, database, options and so on.
    std::vector<std::pair<std::string, std::string>> parameters;
    // For a cancel request.
    std::uint32_t processId = 0;
    std::uint32_t secretKey = 0;
};

// Buffers bytes and returns complete messages. After an error the stream cannot
// be resynchronised and the connection has to be closed.
class FrameReader
{
public:
    void feed(std::string_view bytes);
    // The next complete startup message; nothing when more bytes are needed.
    tl::expected<std::optional<StartupMessage>, Error> nextStartup();
    // The next complete message; nothing when more bytes are needed.
    tl::expected<std::optional<Message>, Error> next();
    // Bytes fed and not yet returned.
    std::size_t buffered() const;

private:
    void compact();

    std::string m_buffer;
    // Invariant: m_offset <= m_buffer.size().
    std::size_t m_offset = 0;
};

// Reads fields from a payload in order. Each function returns nothing when the payload
// has too few bytes left.
class PayloadReader
{
public:
    explicit PayloadReader(std::string_view payload) : m_rest(payload)
    {
    }
    std::optional<std::uint16_t> uint16();
    std::optional<std::uint32_t> uint32();
    std::optional<std::string_view> cString();
    std::optional<std::string_view> bytes(std::size_t count);
    std::string_view rest() const
    {
        return m_rest;
    }

private:
    std::string_view m_rest;
};

// Each function appends one message, or one field, to `out`.
void appendMessage(std::string &out, char type, std::string_view payload);
void appendUint16(std::string &out, std::uint16_t value);
void appendUint32(std::string &out, std::uint32_t value);
void appendCString(std::string &out, std::string_view text);

void appendStartup(std::string &out, const std::vector<std::pair<std::string, std::string>> &parameters);
void appendCancelRequest(std::string &out, std::uint32_t processId, std::uint32_t secretKey);
void appendQuery(std::string &out, std::string_view sql);
void appendParse(std::string &out, std::string_view name, std::string_view sql, std::string_view parameterTypes);
void appendAuthenticationOk(std::string &out);
void appendAuthenticationCleartext(std::string &out);
void appendParameterStatus(std::string &out, std::string_view name, std::string_view value);
void appendBackendKeyData(std::string &out, std::uint32_t processId, std::uint32_t secretKey);
// `state` is 'I' idle, 'T' in a transaction, 'E' in a failed transaction.
void appendReadyForQuery(std::string &out, char state);
void appendCommandComplete(std::string &out, std::string_view tag);
// An ErrorResponse with severity ERROR (or FATAL) and an optional hint.
void appendErrorResponse(std::string &out, std::string_view sqlState, std::string_view text, std::string_view hint,
                         bool fatal = false);
void appendNotice(std::string &out, std::string_view sqlState, std::string_view text);
// A RowDescription of text columns.
void appendRowDescription(std::string &out, const std::vector<std::string> &columns);
// A DataRow of text values; std::nullopt is NULL.
void appendDataRow(std::string &out, const std::vector<std::optional<std::string>> &values);

// The fields of an ErrorResponse or NoticeResponse.
struct ErrorFields {
    std::string severity;
    std::string sqlState;
    std::string text;
    std::string hint;
};
ErrorFields parseErrorFields(std::string_view payload);

// The values of a DataRow, std::nullopt for NULL; nothing when the payload is malformed.
std::optional<std::vector<std::optional<std::string>>> parseDataRow(std::string_view payload);

} // namespace egrettide::pg
