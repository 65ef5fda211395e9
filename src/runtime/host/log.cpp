// Structured logs by Boost.Log: a text sink whose messages are JSON objects.

#include "runtime/host/log.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <optional>
#include <utility>

namespace egrettide::log
{

namespace
{

namespace blog = boost::log;
using TextSink = blog::sinks::synchronous_sink<blog::sinks::text_ostream_backend>;

std::atomic<Level> threshold{Level::Warning};
std::string &hostName()
{
    static std::string name;
    return name;
}

std::string_view nameOf(Level level)
{
    switch (level) {
    case Level::Debug:
        return "debug";
    case Level::Info:
        return "info";
    case Level::Warning:
        return "warning";
    case Level::Error:
        break;
    }
    return "error";
}

std::int64_t wallClockMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

std::string lineFor(Level level, std::string_view name, std::initializer_list<Field> fields)
{
    nlohmann::ordered_json line;
    line["time_ms"] = wallClockMilliseconds();
    line["level"] = nameOf(level);
    line["host"] = hostName();
    line["event"] = name;
    for (const Field &field : fields) {
        std::visit([&](const auto &value) { line[std::string(field.name)] = value; }, field.value);
    }
    // Text from outside may hold bytes that are no UTF-8; a log line must not throw.
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

Level levelNamed(std::string_view name)
{
    for (const Level level : {Level::Debug, Level::Info, Level::Warning, Level::Error}) {
        if (nameOf(level) == name) {
            return level;
        }
    }
    return Level::Info;
}

void open(std::string_view host, Level level)
{
    hostName() = host;
    threshold = level;
    auto backend = boost::make_shared<blog::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    blog::core::get()->add_sink(boost::make_shared<TextSink>(backend));
}

void setLevel(Level level)
{
    threshold = level;
}

void event(Level level, std::string_view name, std::initializer_list<Field> fields)
{
    if (level < threshold.load(std::memory_order_relaxed)) {
        return;
    }
    thread_local blog::sources::severity_logger<Level> logger;
    BOOST_LOG_SEV(logger, level) << lineFor(level, name, fields);
}

namespace
{

// Counts the lines of the running second.
class LineBudget
{
public:
    // The number of lines dropped before this one; nothing when it is dropped too.
    std::optional<std::uint64_t> take()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        if (now >= m_renewedAt + std::chrono::seconds(1)) {
            m_renewedAt = now;
            m_left = failureLines;
        }
        if (m_left == 0) {
            ++m_dropped;
            return std::nullopt;
        }
        --m_left;
        return std::exchange(m_dropped, 0);
    }

private:
    std::mutex m_mutex;
    std::chrono::steady_clock::time_point m_renewedAt;
    int m_left = 0;
    std::uint64_t m_dropped = 0;
};

LineBudget &failureBudget()
{
    static LineBudget budget;
    return budget;
}

} // namespace

void failure(std::string_view name, std::initializer_list<Field> fields)
{
    const auto dropped = failureBudget().take();
    if (!dropped) {
        return;
    }
    if (*dropped > 0) {
        warning("failures_not_logged", {{"lines", *dropped}});
    }
    warning(name, fields);
}

} // namespace egrettide::log
