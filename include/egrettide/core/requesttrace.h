// Builds a trace of one request from the log lines of any number of hosts: the decisions
// about the request, and the state of the hosts at that time.
//
// Pure: takes lines and returns text.

#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

// A parsed log line.
struct LogLine {
    // Wall-clock time of the host that wrote it, in milliseconds since 1970.
    std::int64_t time = 0;
    std::string host;
    std::string event;
    // All fields, in the order in which they were written.
    nlohmann::ordered_json fields;
};

// Collects log lines in any order and describes what happened to one request.
class RequestTrace
{
public:
    // `requestId` is the id that the caller received.
    explicit RequestTrace(std::string requestId);

    // Adds one line. Text before the first brace, such as a log collector's timestamp, is
    // ignored. A line that is not a log line is counted and skipped.
    void addLine(std::string_view line);

    // True if a line about the request was added.
    bool found() const;
    // The number of lines that could not be parsed.
    std::size_t skipped() const;
    // Returns one paragraph for each line about the request, in order of time.
    std::string describe() const;

private:
    std::string describeLine(const LogLine &line) const;
    std::string describeHostState(const LogLine &line) const;
    std::string describeHome(const LogLine &line) const;
    const LogLine *newestBefore(const LogLine &line, std::string_view host, std::string_view event,
                                std::string_view database) const;

    const std::string m_requestId;
    std::vector<LogLine> m_lines;
    std::vector<LogLine> m_stateLines;
    std::size_t m_skipped = 0;
};

} // namespace egrettide
