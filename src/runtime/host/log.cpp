// Structured logs by Boost.Log: JSON objects, handed over to a thread that writes them.

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

// Lines that did not fit into the queue or could not be written, and how many of them a
// line has told of.
std::atomic<std::uint64_t> dropped{0};
std::atomic<std::uint64_t> droppedTold{0};
// Lines that failure() held back; it tells of them itself.
std::atomic<std::uint64_t> heldBack{0};

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

// Writes lines to a descriptor, on a thread of its own. It looks whether the descriptor
// takes more before each part, so that it never hangs in a write that nobody reads, and
// ends when told to.
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

    // Writes what is queued until the deadline, and ends the thread.
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
    // How long a full output is waited for before the end is looked for.
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
        if (lost > droppedTold.load()) {
            const std::uint64_t told = droppedTold.exchange(lost);
            write(lineFor(Level::Warning, "lines_dropped", {{"lines", lost - told}}));
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
            // A pipe that is ready takes this much without waiting.
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
    // Invariant: queuedLines at most.
    std::deque<std::string> m_lines;
    bool m_closing = false;
    // Last, since it uses the others from its start.
    std::thread m_thread;
};

// Hands lines over to a writer. Records of the library do not leave the thread that
// made them: it counts references to them out of the thread sanitizer's sight.
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

// Formats lines and drops them.
class DiscardBackend : public blog::sinks::basic_formatted_sink_backend<char>
{
public:
    void consume(const blog::record_view &, const string_type &)
    {
    }
};

// Formats one record and drops it.
//
// What goes wrong without it: the library fills its formatter's table with the first
// record of the process, and later ones look at a flag without synchronization to see
// that it is filled. Two threads that log their first lines at once race for the table
// (seen by the thread sanitizer in 3 of 84 starts of three hosts). Filled before other
// threads start, the table only is read.
void prepareFormatter()
{
    const auto sink = boost::make_shared<blog::sinks::synchronous_sink<DiscardBackend>>();
    blog::core::get()->add_sink(sink);
    blog::sources::severity_logger<Level> logger;
    BOOST_LOG_SEV(logger, Level::Debug) << "";
    blog::core::get()->remove_sink(sink);
}

// Both empty, or both set from open() to close().
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
    return dropped.load() + heldBack.load();
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
            ++heldBack;
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
