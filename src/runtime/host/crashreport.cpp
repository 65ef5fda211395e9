// Writes the line of a fatal signal with calls that are safe in a signal handler: no allocation, no
// locks, and no wait for an output that is not read.

#include "runtime/host/crashreport.h"

#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <string>
#include <typeinfo>

namespace egrettide::crash
{

namespace
{

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool isSanitized = true;
#else
constexpr bool isSanitized = false;
#endif

// The handler's line and the unwinder need a few KiB.
constexpr std::size_t signalStackBytes = std::size_t{64} * 1024;
constexpr std::size_t maxHostName = 64;
constexpr std::size_t maxExceptionText = 160;
constexpr int maxFrames = 24;
// An overflow is noticed at the first access below the stack, which a large frame may place this
// far below it.
constexpr std::uintptr_t overflowReach = std::uintptr_t{256} * 1024;

struct FatalSignal {
    int number;
    std::string_view name;
};
constexpr std::array<FatalSignal, 5> fatalSignals{
    {{SIGSEGV, "SIGSEGV"}, {SIGBUS, "SIGBUS"}, {SIGILL, "SIGILL"}, {SIGFPE, "SIGFPE"}, {SIGABRT, "SIGABRT"}}};

// Written by install() before other threads start.
int outputDescriptor = -1;
std::array<char, maxHostName + 1> hostName{};
// Where the executable is loaded: frames are written relative to it, as addr2line takes them.
std::uintptr_t loadAddress = 0;

// For each line; a pipe that polls as writable takes a line without blocking.
constexpr int maxOutputWaitMs = 100;

// The first thread that crashes reports; others wait for the end of the process.
std::atomic_flag isReporting = ATOMIC_FLAG_INIT;

thread_local const char *threadName = "unnamed";
thread_local std::uintptr_t stackBegin = 0;

// A line of bounded length.
class LineBuffer
{
public:
    LineBuffer &text(std::string_view part)
    {
        const std::size_t size = std::min(part.size(), m_bytes.size() - m_size);
        std::copy_n(part.begin(), size, m_bytes.begin() + static_cast<std::ptrdiff_t>(m_size));
        m_size += size;
        return *this;
    }

    // Text from outside: characters that JSON would have to escape become question marks.
    LineBuffer &plain(std::string_view part)
    {
        constexpr char firstPrintable = 0x20;
        constexpr char lastPrintable = 0x7e;
        for (const char each : part) {
            const bool isPlain = each >= firstPrintable && each <= lastPrintable && each != '"' && each != '\\';
            text(std::string_view(isPlain ? &each : "?", 1));
        }
        return *this;
    }

    LineBuffer &number(std::uint64_t value, int base = 10)
    {
        std::array<char, 24> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, base).ptr;
        return text(std::string_view(digits.data(), static_cast<std::size_t>(end - digits.data())));
    }

    LineBuffer &address(std::uintptr_t value)
    {
        return text("0x").number(value, 16);
    }

    void writeTo(int output) const
    {
        std::size_t done = 0;
        while (done < m_size) {
            // An output that nobody reads must not keep the process from its end.
            pollfd ready{output, POLLOUT, 0};
            if (::poll(&ready, 1, maxOutputWaitMs) <= 0) {
                return;
            }
            const ssize_t written = ::write(output, m_bytes.data() + done, m_size - done);
            if (written < 0 && errno != EINTR) {
                return;
            }
            done += static_cast<std::size_t>(std::max<ssize_t>(0, written));
        }
    }

private:
    std::array<char, 2048> m_bytes{};
    std::size_t m_size = 0;
};

void beginLine(LineBuffer &line, std::string_view event)
{
    constexpr std::uint64_t millisecondsPerSecond = 1000;
    constexpr std::uint64_t nanosecondsPerMillisecond = 1'000'000;
    std::timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    line.text("{\"time_ms\":")
        .number(static_cast<std::uint64_t>(now.tv_sec) * millisecondsPerSecond
                + static_cast<std::uint64_t>(now.tv_nsec) / nanosecondsPerMillisecond);
    line.text(",\"level\":\"error\",\"host\":\"").plain(hostName.data()).text("\",\"event\":\"").text(event).text("\"");
    line.text(",\"thread\":\"").text(threadName).text("\"");
}

std::string_view nameOf(int signal)
{
    const auto found = std::ranges::find(fatalSignals, signal, &FatalSignal::number);
    return found == fatalSignals.end() ? "unknown" : found->name;
}

bool isBelowStack(std::uintptr_t address)
{
    return stackBegin != 0 && address < stackBegin + static_cast<std::uintptr_t>(::sysconf(_SC_PAGESIZE))
        && address + overflowReach >= stackBegin;
}

// Separate from the first line, since unwinding a damaged stack may crash again.
void writeFrames()
{
    std::array<void *, maxFrames> frames{};
    const int count = ::backtrace(frames.data(), maxFrames);
    LineBuffer line;
    beginLine(line, "process_crash_frames");
    line.text(",\"frames\":\"");
    for (int i = 0; i < count; ++i) {
        const auto frame = reinterpret_cast<std::uintptr_t>(frames[static_cast<std::size_t>(i)]);
        line.text(i == 0 ? "" : " ").address(frame >= loadAddress ? frame - loadAddress : frame);
    }
    line.text("\"}\n").writeTo(outputDescriptor);
}

void onFatalSignal(int signal, siginfo_t *info, void * /*context*/)
{
    while (isReporting.test_and_set()) {
        ::pause();
    }
    // Further faults, of this handler too, end the process.
    for (const FatalSignal &fatal : fatalSignals) {
        std::signal(fatal.number, SIG_DFL);
    }
    LineBuffer line;
    beginLine(line, "process_crashed");
    line.text(",\"signal\":\"").text(nameOf(signal)).text("\"");
    if (signal != SIGABRT) {
        const auto address = reinterpret_cast<std::uintptr_t>(info->si_addr);
        line.text(",\"address\":\"")
            .address(address)
            .text("\",\"stack_overflow\":")
            .text(isBelowStack(address) ? "true" : "false");
    }
    line.text("}\n").writeTo(outputDescriptor);
    writeFrames();
    // Pending until this handler returns, unless the kernel raises it again at the same place first.
    ::raise(signal);
}

void onTerminate()
{
    LineBuffer line;
    beginLine(line, "exception_not_caught");
    try {
        if (const std::exception_ptr current = std::current_exception()) {
            std::rethrow_exception(current);
        }
        line.text(",\"exception\":\"none\"");
    } catch (const std::exception &exception) {
        line.text(",\"exception\":\"").plain(typeid(exception).name());
        line.text("\",\"message\":\"").plain(std::string_view(exception.what()).substr(0, maxExceptionText)).text("\"");
    } catch (...) {
        line.text(",\"exception\":\"unknown\"");
    }
    line.text("}\n").writeTo(outputDescriptor);
    std::abort();
}

int rememberLoadAddress(dl_phdr_info *info, std::size_t /*size*/, void * /*data*/)
{
    // The first object is the executable.
    loadAddress = info->dlpi_addr;
    return 1;
}

void rememberStack()
{
    pthread_attr_t attributes;
    if (::pthread_getattr_np(::pthread_self(), &attributes) != 0) {
        return;
    }
    void *begin = nullptr;
    std::size_t size = 0;
    if (::pthread_attr_getstack(&attributes, &begin, &size) == 0) {
        stackBegin = reinterpret_cast<std::uintptr_t>(begin);
    }
    ::pthread_attr_destroy(&attributes);
}

} // namespace

void install(std::string_view host, int output)
{
    if (isSanitized) {
        return;
    }
    outputDescriptor = output;
    std::copy_n(host.begin(), std::min(host.size(), maxHostName), hostName.begin());
    ::dl_iterate_phdr(rememberLoadAddress, nullptr);
    // The unwinder allocates memory at its first use only.
    std::array<void *, 1> frame{};
    ::backtrace(frame.data(), 1);
    static const ThreadCover mainThread("main");
    std::set_terminate(onTerminate);
    struct sigaction action {
    };
    action.sa_sigaction = onFatalSignal;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK;
    sigemptyset(&action.sa_mask);
    for (const FatalSignal &fatal : fatalSignals) {
        ::sigaction(fatal.number, &action, nullptr);
    }
}

ThreadCover::ThreadCover(const char *name)
{
    if (isSanitized) {
        return;
    }
    threadName = name;
    rememberStack();
    m_stack = std::make_unique<std::byte[]>(signalStackBytes);
    stack_t stack{};
    stack.ss_sp = m_stack.get();
    stack.ss_size = signalStackBytes;
    ::sigaltstack(&stack, nullptr);
}

ThreadCover::~ThreadCover()
{
    if (m_stack) {
        stack_t stack{};
        stack.ss_flags = SS_DISABLE;
        ::sigaltstack(&stack, nullptr);
    }
}

} // namespace egrettide::crash
