// Structured logs with Boost.Log: JSON objects that a writer thread writes to the output.

#include "runtime/host/log.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <climits>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace egrettide::log
{

namespace
{

namespace blog = boost::log;

// Lines that did not fit into the queue or could not be written, and how many of them have
// been reported by a line.
std::atomic<std::uint64_t> dropped{0};
std::atomic<std::uint64_t> droppedReported{0};
// Lines that failure() suppressed; it reports them itself.
std::atomic<std::uint64_t> suppressed{0};

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
    // External text may contain invalid UTF-8; logging must not throw.
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Writes lines to a descriptor on its own thread. It polls the descriptor before each write,
// so that it never blocks on an output that is not read and can end at any time.
class LineWriter
{
public:
    explicit LineWriter(int output) : m_output(output), m_thread([this] { run(); })
    {
    }

    // Queues the line, or drops it when the queue is full.
    void push(const std::string &line)
    {
        {
            const std::scoped_lock lock(m_mutex);
            if (m_lines.size() >= queuedLines) {
                ++dropped;
                return;
            }
            m_lines.push_back(line);
        }
        m_changed.notify_one();
    }

    // Writes the queued lines until the deadline, and ends the thread.
    void close(std::chrono::steady_clock::time_point deadline)
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_closeBy = deadline.time_since_epoch().count();
            m_closing = true;
        }
        m_changed.notify_one();
        m_thread.join();
    }

private:
    // The time to wait for a full output before checking whether the writer is overdue.
    static constexpr int pollMilliseconds = 100;

    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_closing || !m_lines.empty()) {
            m_changed.wait(lock, [this] { return m_closing || !m_lines.empty(); });
            if (m_lines.empty()) {
                continue;
            }
            const std::string line = std::move(m_lines.front());
            m_lines.pop_front();
            lock.unlock();
            writeAfterDropped(line);
            lock.lock();
        }
    }

    void writeAfterDropped(const std::string &line) const
    {
        const std::uint64_t lost = dropped.load();
        if (lost > droppedReported.load()) {
            const std::uint64_t reported = droppedReported.exchange(lost);
            write(lineFor(Level::Warning, "lines_dropped", {{"lines", lost - reported}}));
        }
        write(line);
    }

    bool isOverdue() const
    {
        return std::chrono::steady_clock::now().time_since_epoch().count() >= m_closeBy.load();
    }

    void write(std::string line) const
    {
        line += '\n';
        std::size_t done = 0;
        while (done < line.size() && !isOverdue()) {
            pollfd ready{m_output, POLLOUT, 0};
            if (::poll(&ready, 1, pollMilliseconds) <= 0) {
                continue;
            }
            // A pipe that polls as writable accepts this many bytes without blocking.
            const std::size_t part = std::min<std::size_t>(line.size() - done, PIPE_BUF);
            const ssize_t written = ::write(m_output, line.data() + done, part);
            if (written < 0 && errno != EINTR && errno != EAGAIN) {
                break;
            }
            done += static_cast<std::size_t>(std::max<ssize_t>(0, written));
        }
        dropped += done < line.size() ? 1 : 0;
    }

    const int m_output;
    std::atomic<std::chrono::steady_clock::rep> m_closeBy{
        std::chrono::steady_clock::time_point::max().time_since_epoch().count()};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    // Invariant: holds at most queuedLines lines.
    std::deque<std::string> m_lines;
    bool m_closing = false;
    // Declared last, since the thread uses the other members from its start.
    std::thread m_thread;
};

// Passes lines to a writer. Log records of the library stay on the thread that created them,
// since the thread sanitizer does not see their reference counting.
class QueueBackend : public blog::sinks::basic_formatted_sink_backend<char>
{
public:
    explicit QueueBackend(std::shared_ptr<LineWriter> writer) : m_writer(std::move(writer))
    {
    }

    void consume(const blog::record_view &, const string_type &line)
    {
        m_writer->push(line);
    }

private:
    const std::shared_ptr<LineWriter> m_writer;
};

using LineSink = blog::sinks::synchronous_sink<QueueBackend>;

// Formats lines and discards them.
class DiscardBackend : public blog::sinks::basic_formatted_sink_backend<char>
{
public:
    void consume(const blog::record_view &, const string_type &)
    {
    }
};

// Formats one record and discards it, before other threads start.
//
// The library fills the table of its formatter with the first record of the process, and later
// records check an unsynchronized flag. Without this call, two threads that log their first
// lines at the same time race for the table (reported by the thread sanitizer in 3 of 84 starts
// of three hosts).
void prepareFormatter()
{
    const auto sink = boost::make_shared<blog::sinks::synchronous_sink<DiscardBackend>>();
    blog::core::get()->add_sink(sink);
    blog::sources::severity_logger<Level> logger;
    BOOST_LOG_SEV(logger, Level::Debug) << "";
    blog::core::get()->remove_sink(sink);
}

// Either both empty, or both set (from open() to close()).
struct OpenLog {
    boost::shared_ptr<LineSink> sink;
    std::shared_ptr<LineWriter> writer;
};

OpenLog &openLog()
{
    static OpenLog log;
    return log;
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

void open(std::string_view host, Level level, int output)
{
    hostName() = host;
    threshold = level;
    prepareFormatter();
    const auto writer = std::make_shared<LineWriter>(output);
    openLog() = OpenLog{boost::make_shared<LineSink>(boost::make_shared<QueueBackend>(writer)), writer};
    blog::core::get()->add_sink(openLog().sink);
}

void close()
{
    const OpenLog log = std::exchange(openLog(), OpenLog{});
    if (!log.sink) {
        return;
    }
    blog::core::get()->remove_sink(log.sink);
    log.writer->close(std::chrono::steady_clock::now() + closeBound);
}

std::uint64_t droppedLines()
{
    return dropped.load() + suppressed.load();
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

// Limits the lines of each second.
class LineBudget
{
public:
    // Returns the number of lines dropped before this one; nothing when this one is dropped too.
    std::optional<std::uint64_t> take()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        if (now >= m_renewedAt + std::chrono::seconds(1)) {
            m_renewedAt = now;
            m_remaining = failureLines;
        }
        if (m_remaining == 0) {
            ++m_dropped;
            ++suppressed;
            return std::nullopt;
        }
        --m_remaining;
        return std::exchange(m_dropped, 0);
    }

private:
    std::mutex m_mutex;
    std::chrono::steady_clock::time_point m_renewedAt;
    int m_remaining = 0;
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
