// The story of one request, out of the log lines of any number of hosts.

#include "egrettide/core/logstory.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace egrettide
{

namespace
{

// Events that change what a host believes, as far as requests depend on it.
constexpr std::array<std::string_view, 15> beliefs{
    "started",    "configuration_accepted", "membership_changed",  "primary_seen",        "primary_announced",
    "home_taken", "home_taken_back",        "home_left",           "store_intent",        "store_registrations",
    "stop_begun", "stop_complete",          "registration_lapsed", "failures_not_logged", "lines_dropped"};

// What a failed request depends on at the host that answered it, whatever its database.
constexpr std::array<std::string_view, 6> hostBeliefs{"started",      "configuration_accepted", "membership_changed",
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

// Every field but those that stand at the head of each paragraph.
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

std::string ageOf(const LogLine &belief, const LogLine &at)
{
    return absl::StrCat(static_cast<std::int64_t>(at.time - belief.time), " ms before");
}

bool byTime(const LogLine &left, const LogLine &right)
{
    return left.time < right.time;
}

// What the caller may rely on.
std::string effectOf(const LogLine &line)
{
    if (fieldOf(line, "error") == "unknown_outcome") {
        return "It may have run: look for its effect before it is sent again.";
    }
    return fieldOf(line, "sent") == "true" ? "It had reached an upstream and left nothing that lasts."
                                           : "It did not run: nothing of it had left for an upstream.";
}

} // namespace

LogStory::LogStory(std::string requestId) : m_requestId(std::move(requestId))
{
}

void LogStory::take(std::string_view line)
{
    const std::size_t brace = line.find('{');
    if (brace == std::string_view::npos) {
        m_skipped += line.find_first_not_of(" \t\r") == std::string_view::npos ? 0 : 1;
        return;
    }
    auto fields = nlohmann::ordered_json::parse(line.substr(brace), nullptr, false);
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
    } else if (std::find(beliefs.begin(), beliefs.end(), read.event) != beliefs.end()) {
        m_beliefs.push_back(std::move(read));
    }
}

bool LogStory::found() const
{
    return !m_lines.empty();
}

std::size_t LogStory::skipped() const
{
    return m_skipped;
}

std::string LogStory::tell() const
{
    std::vector<LogLine> lines = m_lines;
    std::stable_sort(lines.begin(), lines.end(), byTime);
    std::string story;
    for (const LogLine &line : lines) {
        absl::StrAppend(&story, story.empty() ? "" : "\n", tellLine(line));
    }
    return story;
}

std::string LogStory::tellLine(const LogLine &line) const
{
    std::string text =
        absl::StrCat(static_cast<std::int64_t>(line.time), " ", line.host, " ", line.event, "\n  ", fieldsOf(line), "\n");
    if (line.event == "request_failed") {
        absl::StrAppend(&text, "  ", effectOf(line), "\n");
    }
    absl::StrAppend(&text, tellBeliefs(line), tellHome(line));
    return text;
}

// The newest line of that event that the host's process wrote up to then; about the
// database, unless that is empty. What an earlier process of the host believed is over.
const LogLine *LogStory::newestBefore(const LogLine &line, std::string_view host, std::string_view event,
                                      std::string_view database) const
{
    const LogLine *start = event == "started" ? nullptr : newestBefore(line, host, "started", {});
    const LogLine *newest = nullptr;
    for (const LogLine &belief : m_beliefs) {
        if (start != nullptr && belief.time < start->time) {
            continue;
        }
        const bool concerns = belief.host == host && belief.event == event && belief.time <= line.time
            && (database.empty() || fieldOf(belief, "database") == database);
        if (concerns && (newest == nullptr || belief.time >= newest->time)) {
            newest = &belief;
        }
    }
    return newest;
}

std::string LogStory::tellBeliefs(const LogLine &line) const
{
    std::string text;
    const auto add = [&](const LogLine *belief) {
        if (belief != nullptr) {
            absl::StrAppend(&text, "  in force at ", belief->host, ": ", belief->event, " (", fieldsOf(*belief), "), ",
                            ageOf(*belief, line), "\n");
        }
    };
    for (const std::string_view event : hostBeliefs) {
        add(newestBefore(line, line.host, event, {}));
    }
    const std::string database = fieldOf(line, "database");
    if (!database.empty()) {
        add(newestBefore(line, line.host, "primary_seen", database));
    }
    return text;
}

// The host that held the upstream's connections then, and what it believed. During a
// change of hosts there may be two, or none.
std::string LogStory::tellHome(const LogLine &line) const
{
    const std::string upstream = fieldOf(line, "upstream");
    const std::string database = fieldOf(line, "database");
    if (upstream.empty()) {
        return {};
    }
    std::vector<LogLine> ordered = m_beliefs;
    std::stable_sort(ordered.begin(), ordered.end(), byTime);
    std::vector<LogLine> holders;
    for (const LogLine &belief : ordered) {
        const bool restarted = belief.event == "started";
        const bool concerns = restarted || fieldOf(belief, "upstream") == upstream;
        if (belief.time > line.time || !concerns) {
            continue;
        }
        std::erase_if(holders, [&belief](const LogLine &holder) { return holder.host == belief.host; });
        if (belief.event == "home_taken" || belief.event == "home_taken_back") {
            holders.push_back(belief);
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
