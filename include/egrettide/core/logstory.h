// The story of one request, out of the log lines of any number of hosts: what was
// decided about it, and what the hosts believed at that moment.
//
// Pure: lines come in, text comes out.

#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

// One line that could be read.
struct LogLine {
    // Wall clock of the host that wrote it, in milliseconds since 1970.
    std::int64_t time = 0;
    std::string host;
    std::string event;
    // All fields, in the order in which they were written.
    nlohmann::ordered_json fields;
};

// Collects lines, in any order, and tells the story of one request.
class LogStory
{
public:
    // `requestId` as the caller knows it.
    explicit LogStory(std::string requestId);

    // Takes one line. What stands before the first brace, such as a collector's own
    // time, is passed over; a line that is no log line is counted and skipped.
    void take(std::string_view line);

    // True when a line about the request was taken.
    bool found() const;
    // Lines that could not be read.
    std::size_t skipped() const;
    // The story, a paragraph for each line about the request, in order of time.
    std::string tell() const;

private:
    std::string tellLine(const LogLine &line) const;
    std::string tellBeliefs(const LogLine &line) const;
    std::string tellHome(const LogLine &line) const;
    const LogLine *newestBefore(const LogLine &line, std::string_view host, std::string_view event,
                                std::string_view database) const;

    const std::string m_requestId;
    std::vector<LogLine> m_lines;
    std::vector<LogLine> m_beliefs;
    std::size_t m_skipped = 0;
};

} // namespace egrettide
