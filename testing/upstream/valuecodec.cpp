// Text and binary forms of the stand-in's three types.

#include "testing/upstream/valuecodec.h"

#include "wire/pgwire.h"

namespace egrettide::testing
{

namespace
{

constexpr std::uint16_t binaryFormat = 1;
constexpr std::size_t int4Bytes = 4;
constexpr std::size_t int8Bytes = 8;

std::int64_t bigEndian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes) {
        value = (value << 8U) | static_cast<unsigned char>(byte);
    }
    const bool isShort = bytes.size() == int4Bytes;
    return isShort ? static_cast<std::int32_t>(static_cast<std::uint32_t>(value)) : static_cast<std::int64_t>(value);
}

bool isInteger(std::uint32_t type)
{
    return type == static_cast<std::uint32_t>(ColumnType::Int4) || type == static_cast<std::uint32_t>(ColumnType::Int8);
}

} // namespace

std::uint16_t formatAt(const std::vector<std::uint16_t> &formats, std::size_t index)
{
    if (formats.size() == 1) {
        return formats.front();
    }
    return index < formats.size() ? formats[index] : 0;
}

Value parameterOf(std::string_view bytes, std::uint16_t format, std::uint32_t type)
{
    if (format == binaryFormat && isInteger(type)) {
        if (bytes.size() != int4Bytes && bytes.size() != int8Bytes) {
            throw SqlError("22P03", "incorrect binary data format in a parameter");
        }
        return bigEndian(bytes);
    }
    return std::string(bytes);
}

void appendValue(std::string &payload, const Value &value, ColumnType type, std::uint16_t format)
{
    const auto text = textOf(value);
    if (!text) {
        pg::appendUint32(payload, nullLength);
        return;
    }
    const auto *number = std::get_if<std::int64_t>(&value);
    if (format == binaryFormat && type != ColumnType::Text && number != nullptr) {
        const bool isWide = type == ColumnType::Int8;
        pg::appendUint32(payload, isWide ? int8Bytes : int4Bytes);
        if (isWide) {
            pg::appendUint32(payload, static_cast<std::uint32_t>(static_cast<std::uint64_t>(*number) >> 32U));
        }
        pg::appendUint32(payload, static_cast<std::uint32_t>(*number));
        return;
    }
    pg::appendUint32(payload, static_cast<std::uint32_t>(text->size()));
    payload.append(*text);
}

void appendTypedRowDescription(std::string &out, const std::vector<ResultColumn> &columns,
                               const std::vector<std::uint16_t> &formats)
{
    std::string payload;
    pg::appendUint16(payload, static_cast<std::uint16_t>(columns.size()));
    for (std::size_t i = 0; i < columns.size(); ++i) {
        const bool isText = columns[i].type == ColumnType::Text;
        const std::uint16_t width = columns[i].type == ColumnType::Int8 ? int8Bytes : int4Bytes;
        pg::appendCString(payload, columns[i].name);
        pg::appendUint32(payload, 0); // table
        pg::appendUint16(payload, 0); // attribute
        pg::appendUint32(payload, static_cast<std::uint32_t>(columns[i].type));
        pg::appendUint16(payload, isText ? 0xffffU : width);
        pg::appendUint32(payload, nullLength); // no type modifier
        pg::appendUint16(payload, formatAt(formats, i));
    }
    pg::appendMessage(out, 'T', payload);
}

} // namespace egrettide::testing
