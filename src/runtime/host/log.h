// Structured logs: one JSON object a line, with stable event names that
// operators can search and alert on (docs/OPERATIONS.md lists them). Never pass in secrets:
// only names, marks and counts are logged.

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

// The level with that name ("debug", "info", "warning", "error"); Info for any other name.
Level levelNamed(std::string_view name);

// The value of a field.
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
// with the host's name. Must be called once, before other threads start.
//
// Lines pass through a queue of `queuedLines` to a writer thread. If the logging thread wrote
// them itself, an output that is not read would fill its pipe and block every caller of the
// host. Lines that do not fit are dropped and counted; the next line that fits is preceded by
// a line with their number.
void open(std::string_view host, Level level, int output = 1);

// Writes the queued lines, for at most `closeBound`, and ends the writer thread. Lines of
// later events are lost.
void close();

// Number of lines dropped since the start, including those of failure() beyond its limit.
std::uint64_t droppedLines();

// About 0.5 MB of lines; at 50 failures a second, enough for 40 s of an output that is not
// read.
constexpr std::size_t queuedLines = 2048;
// The maximum time that the end of the process waits for an output that is not read.
constexpr std::chrono::milliseconds closeBound{500};

// Changes the minimum level of lines that are written; thread-safe.
void setLevel(Level level);

// Queues one line. Thread-safe; never waits for the output.
void event(Level level, std::string_view name, std::initializer_list<Field> fields = {});

// Logs one line for a failed request. At most `failureLines` a second are written, so that
// logging does not make an overload worse. A line with the number of dropped lines precedes
// the next line that is written.
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
