// The trace of one request, built from the log lines of any number of hosts.

#include "egrettide/core/requesttrace.h"

#include "egrettide/core/jsontext.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace egrettide
{

namespace
{

// Events that change the state of a host, as far as requests depend on it.
constexpr std::array<std::string_view, 15> stateEvents{
    "started",    "configuration_accepted", "membership_changed",  "primary_seen",        "primary_announced",
    "home_taken", "home_taken_back",        "home_left",           "store_intent",        "store_registrations",
    "stop_begun", "stop_complete",          "registration_lapsed", "failures_not_logged", "lines_dropped"};

// Events for the state on which every request depends at the host that answered it,
// independent of the database.
constexpr std::array<std::string_view, 6> hostStateEvents{"started",      "configuration_accepted", "membership_changed",
                                                          "store_intent", "store_registrations",    "stop_begun"};

std::string textOf(const nlohmann::ordered_json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string fieldOf(const LogLine &line, std::string_view name)
{
    const auto found = line.fields.find(std::string(name));
    return found == line.fields.end() ? std::string() : textOf(*found);
}

// All fields except those that are shown at the head of each paragraph.
std::string fieldsOf(const LogLine &line)
{
    std::string text;
    for (const auto &[name, value] : line.fields.items()) {
        const bool isHead = name == "time_ms" || name == "host" || name == "event" || name == "level";
        if (!isHead) {
            absl::StrAppend(&text, text.empty() ? "" : ", ", name, " ", textOf(value));
        }
    }
    return text;
}

std::string ageOf(const LogLine &state, const LogLine &at)
{
    return absl::StrCat(static_cast<std::int64_t>(at.time - state.time), " ms before");
}

bool byTime(const LogLine &left, const LogLine &right)
{
    return left.time < right.time;
}

// What the caller may assume about the effect of a failed request.
std::string effectOf(const LogLine &line)
{
    if (fieldOf(line, "error") == "unknown_outcome") {
        return "It may have run: check its effect before sending it again.";
    }
    return fieldOf(line, "sent") == "true" ? "It reached an upstream and had no lasting effect."
                                           : "It did not run: no part of it was sent to an upstream.";
}

} // namespace

RequestTrace::RequestTrace(std::string requestId) : m_requestId(std::move(requestId))
{
}

void RequestTrace::addLine(std::string_view line)
{
    const std::size_t brace = line.find('{');
    if (brace == std::string_view::npos) {
        m_skipped += line.find_first_not_of(" \t\r") == std::string_view::npos ? 0 : 1;
        return;
    }
    const std::string_view text = line.substr(brace);
    auto fields = isWithinJsonDepth(text) ? nlohmann::ordered_json::parse(text, nullptr, false) : nlohmann::ordered_json();
    const auto is = [&fields](const char *name, auto check) {
        const auto found = fields.find(name);
        return found != fields.end() && check(*found);
    };
    const auto isText = [](const nlohmann::ordered_json &value) { return value.is_string(); };
    const auto isNumber = [](const nlohmann::ordered_json &value) { return value.is_number_integer(); };
    if (!fields.is_object() || !is("time_ms", isNumber) || !is("host", isText) || !is("event", isText)) {
        ++m_skipped;
        return;
    }
    LogLine read{
        fields["time_ms"].get<std::int64_t>(), fields["host"].get<std::string>(), fields["event"].get<std::string>(), {}};
    read.fields = std::move(fields);
    if (fieldOf(read, "id") == m_requestId) {
        m_lines.push_back(std::move(read));
    } else if (std::find(stateEvents.begin(), stateEvents.end(), read.event) != stateEvents.end()) {
        m_stateLines.push_back(std::move(read));
    }
}

bool RequestTrace::found() const
{
    return !m_lines.empty();
}

std::size_t RequestTrace::skipped() const
{
    return m_skipped;
}

std::string RequestTrace::describe() const
{
    std::vector<LogLine> lines = m_lines;
    std::stable_sort(lines.begin(), lines.end(), byTime);
    std::string text;
    for (const LogLine &line : lines) {
        absl::StrAppend(&text, text.empty() ? "" : "\n", describeLine(line));
    }
    return text;
}

std::string RequestTrace::describeLine(const LogLine &line) const
{
    std::string text =
        absl::StrCat(static_cast<std::int64_t>(line.time), " ", line.host, " ", line.event, "\n  ", fieldsOf(line), "\n");
    if (line.event == "request_failed") {
        absl::StrAppend(&text, "  ", effectOf(line), "\n");
    }
    absl::StrAppend(&text, describeHostState(line), describeHome(line));
    return text;
}

// The newest line with this event that the current process of the host wrote up to the time
// of `line`; for one database, unless `database` is empty. Lines of earlier processes of the
// host are ignored, as their state is no longer valid.
const LogLine *RequestTrace::newestBefore(const LogLine &line, std::string_view host, std::string_view event,
                                          std::string_view database) const
{
    const LogLine *start = event == "started" ? nullptr : newestBefore(line, host, "started", {});
    const LogLine *newest = nullptr;
    for (const LogLine &state : m_stateLines) {
        if (start != nullptr && state.time < start->time) {
            continue;
        }
        const bool concerns = state.host == host && state.event == event && state.time <= line.time
            && (database.empty() || fieldOf(state, "database") == database);
        if (concerns && (newest == nullptr || state.time >= newest->time)) {
            newest = &state;
        }
    }
    return newest;
}

std::string RequestTrace::describeHostState(const LogLine &line) const
{
    std::string text;
    const auto add = [&](const LogLine *state) {
        if (state != nullptr) {
            absl::StrAppend(&text, "  in force at ", state->host, ": ", state->event, " (", fieldsOf(*state), "), ",
                            ageOf(*state, line), "\n");
        }
    };
    for (const std::string_view event : hostStateEvents) {
        add(newestBefore(line, line.host, event, {}));
    }
    const std::string database = fieldOf(line, "database");
    if (!database.empty()) {
        add(newestBefore(line, line.host, "primary_seen", database));
    }
    return text;
}

// Describes the home of the request's upstream at the time of `line`, that is the host that
// held the upstream's connections, and its state. While the home moves there may be two, or
// none.
std::string RequestTrace::describeHome(const LogLine &line) const
{
    const std::string upstream = fieldOf(line, "upstream");
    const std::string database = fieldOf(line, "database");
    if (upstream.empty()) {
        return {};
    }
    std::vector<LogLine> ordered = m_stateLines;
    std::stable_sort(ordered.begin(), ordered.end(), byTime);
    std::vector<LogLine> holders;
    for (const LogLine &state : ordered) {
        const bool restarted = state.event == "started";
        const bool concerns = restarted || fieldOf(state, "upstream") == upstream;
        if (state.time > line.time || !concerns) {
            continue;
        }
        std::erase_if(holders, [&state](const LogLine &holder) { return holder.host == state.host; });
        if (state.event == "home_taken" || state.event == "home_taken_back") {
            holders.push_back(state);
        }
    }
    std::string text;
    for (const LogLine &holder : holders) {
        absl::StrAppend(&text, "  home of ", upstream, ": ", holder.host, ", since ", ageOf(holder, line), "\n");
        const LogLine *seen = newestBefore(line, holder.host, "primary_seen", database);
        if (seen != nullptr && holder.host != line.host) {
            absl::StrAppend(&text, "  in force at ", seen->host, ": ", seen->event, " (", fieldsOf(*seen), "), ",
                            ageOf(*seen, line), "\n");
        }
    }
    return holders.empty() ? absl::StrCat("  home of ", upstream, ": none in these lines\n") : text;
}

} // namespace egrettide
