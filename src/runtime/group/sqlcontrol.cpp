// Implements the control functions of upstreams over SQL.

#include "runtime/group/sqlcontrol.h"

#include "wire/pgwire.h"

#include <charconv>
#include <cstdint>
#include <string_view>

namespace egrettide
{

namespace
{

// Gives access to one row of a control function's result by column name.
class RowView
{
public:
    RowView(const std::vector<std::string> &columns, const std::vector<std::optional<std::string>> &values)
        : m_columns(columns), m_values(values)
    {
    }

    std::optional<std::string> text(std::string_view column) const
    {
        for (std::size_t i = 0; i < m_columns.size() && i < m_values.size(); ++i) {
            if (m_columns[i] == column) {
                return m_values[i];
            }
        }
        return std::nullopt;
    }

    std::optional<std::uint64_t> number(std::string_view column) const
    {
        const auto value = text(column);
        std::uint64_t number = 0;
        if (!value) {
            return std::nullopt;
        }
        const auto parsed = std::from_chars(value->data(), value->data() + value->size(), number);
        if (parsed.ec != std::errc{}) {
            return std::nullopt;
        }
        return number;
    }

private:
    const std::vector<std::string> &m_columns;
    const std::vector<std::optional<std::string>> &m_values;
};

std::optional<UpstreamRole> roleFrom(const std::optional<std::string> &text)
{
    if (text == "primary") {
        return UpstreamRole::Primary;
    }
    if (text == "replica") {
        return UpstreamRole::Replica;
    }
    if (text == "fenced") {
        return UpstreamRole::Fenced;
    }
    return std::nullopt;
}

std::string quoted(std::string_view text)
{
    std::string out = "'";
    for (const char c : text) {
        out += c == '\'' ? "''" : std::string(1, c);
    }
    return out + "'";
}

std::string termCall(std::string_view function, Term term, const std::string &arguments)
{
    return "SELECT * FROM " + std::string(function) + "(" + std::to_string(term) + ", " + arguments + ")";
}

std::string query(std::string_view sql)
{
    std::string batch;
    pg::appendQuery(batch, sql);
    return batch;
}

tl::expected<ControlAnswer, ControlFailure> controlAnswer(const BatchAnswer &answer)
{
    if (!answer.row.empty()) {
        if (const auto status = memberStatusFromRow(answer.columns, answer.row)) {
            const RowView row(answer.columns, answer.row);
            return ControlAnswer{row.text("granted").value_or("t") == "t", *status};
        }
    }
    return tl::unexpected(ControlFailure{ProbeFailure::Refused,
                                         "the upstream refused a control function with SQLSTATE '" + answer.errorCode + "'"});
}

} // namespace

std::optional<MemberStatus> memberStatusFromRow(const std::vector<std::string> &columns,
                                                const std::vector<std::optional<std::string>> &values)
{
    const RowView row(columns, values);
    const auto role = roleFrom(row.text("role"));
    const auto promised = row.number("promised_term");
    const auto receivedTerm = row.number("received_term");
    const auto received = row.number("received");
    const auto replayedTerm = row.number("replayed_term");
    const auto replayed = row.number("replayed");
    const auto following = row.number("following_term");
    if (!role || !promised || !receivedTerm || !received || !replayedTerm || !replayed || !following) {
        return std::nullopt;
    }
    MemberStatus status;
    status.upstream = row.text("name").value_or("");
    status.role = *role;
    status.promisedTerm = *promised;
    status.promisedTo = row.text("promised_to").value_or("");
    status.received = LogMark{*receivedTerm, *received};
    status.replayed = LogMark{*replayedTerm, *replayed};
    status.followingTerm = *following;
    return status;
}

ControlCodec sqlControlCodec()
{
    ControlCodec codec;
    codec.status = [] { return query("SELECT * FROM group_status()"); };
    codec.fence = [](Term term, const std::string &token) { return query(termCall("group_fence", term, quoted(token))); };
    codec.promote = [](Term term, const std::string &token) { return query(termCall("group_promote", term, quoted(token))); };
    codec.follow = [](Term term, const std::string &token, const std::string &primaryAddress) {
        return query(termCall("group_follow", term, quoted(token) + ", " + quoted(primaryAddress)));
    };
    codec.answer = controlAnswer;
    return codec;
}

} // namespace egrettide
