// Structured logs: one JSON object a line, with stable event names that
// operators can search and alert on (docs/OPERATIONS.md lists them). Secrets are
// never passed in: callers log names, marks and counts only.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace egrettide::log
{

enum class Level { Debug, Info, Warning, Error };

// The level of that name ("debug", "info", "warning", "error"); Info otherwise.
Level levelNamed(std::string_view name);

// A value beside an event.
using Value = std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

struct Field {
    Field(std::string_view fieldName, std::string_view text) : name(fieldName), value(std::string(text))
    {
    }
    Field(std::string_view fieldName, const char *text) : name(fieldName), value(std::string(text))
    {
    }
    Field(std::string_view fieldName, const std::string &text) : name(fieldName), value(text)
    {
    }
    Field(std::string_view fieldName, bool flag) : name(fieldName), value(flag)
    {
    }
    Field(std::string_view fieldName, double number) : name(fieldName), value(number)
    {
    }
    Field(std::string_view fieldName, int number) : name(fieldName), value(static_cast<std::int64_t>(number))
    {
    }
    Field(std::string_view fieldName, long number) : name(fieldName), value(static_cast<std::int64_t>(number))
    {
    }
    Field(std::string_view fieldName, unsigned long number) : name(fieldName), value(static_cast<std::uint64_t>(number))
    {
    }

    std::string_view name;
    Value value;
};

// Sends lines of `level` and above to the descriptor, standard output by default, each
// with the host's name. To be called once, before other threads start.
//
// What goes wrong when whoever logs also writes: nobody reads the output for a while, the
// pipe fills up, and every caller of the host waits. So lines go through a queue of
// `queuedLines` to a thread of its own; what does not fit is dropped and counted, and
// the next line that fits is preceded by a line that says how many were.
void open(std::string_view host, Level level, int output = 1);

// Writes what is queued, for `closeBound` at most, and ends the writing thread. Lines of
// later events are lost.
void close();

// Lines dropped since the start, those of failure() beyond its budget included.
std::uint64_t droppedLines();

// About 0.5 MB of lines; at 50 failures a second and host, 40 s of an output that nobody
// reads.
constexpr std::size_t queuedLines = 2048;
// How long the end of the process may wait for an output that nobody reads.
constexpr std::chrono::milliseconds closeBound{500};

// Changes what is written, at any time and from any thread.
void setLevel(Level level);

// Queues one line. Thread-safe; never waits for the output.
void event(Level level, std::string_view name, std::initializer_list<Field> fields = {});

// One line for a request that failed. At most `failureLines` a second are written, so
// that an overload is not made worse by its own report; the next line after a pause
// says how many were dropped.
constexpr int failureLines = 50;
void failure(std::string_view name, std::initializer_list<Field> fields);

inline void debug(std::string_view name, std::initializer_list<Field> fields = {})
{
    event(Level::Debug, name, fields);
}
inline void info(std::string_view name, std::initializer_list<Field> fields = {})
{
    event(Level::Info, name, fields);
}
inline void warning(std::string_view name, std::initializer_list<Field> fields = {})
{
    event(Level::Warning, name, fields);
}
inline void error(std::string_view name, std::initializer_list<Field> fields = {})
{
    event(Level::Error, name, fields);
}

} // namespace egrettide::log
