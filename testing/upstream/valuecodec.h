// Wire encoding of values, parameters and row descriptions.

#pragma once

#include "testing/upstream/executor.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide::testing
{

// The length field that encodes NULL.
constexpr std::uint32_t nullLength = 0xffffffffU;

// One format for all columns, one for each, or none for text everywhere.
std::uint16_t formatAt(const std::vector<std::uint16_t> &formats, std::size_t index);

// The value of a parameter; `type` is a type OID. Throws 22P03 when a binary integer
// is neither 4 nor 8 bytes long.
Value parameterOf(std::string_view bytes, std::uint16_t format, std::uint32_t type);

// Appends a column of a DataRow, with its length.
void appendValue(std::string &payload, const Value &value, ColumnType type, std::uint16_t format);

// Appends a RowDescription message.
void appendTypedRowDescription(std::string &out, const std::vector<ResultColumn> &columns,
                               const std::vector<std::uint16_t> &formats);

} // namespace egrettide::testing
