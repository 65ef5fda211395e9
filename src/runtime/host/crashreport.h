// Reports how the process ends when it does not end on its own decision: one log line for a fatal
// signal, and one for an exception that nothing caught.
//
// Builds with a sanitizer report nothing here: the sanitizer's own report says more.

#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

namespace egrettide::crash
{

// Handles SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT, and std::terminate(). Each writes a
// `process_crashed` line to the descriptor, with the names of the signal and of the thread; the
// signal then takes its default action, so the exit status is that of the signal.
//
// Must be called once, before other threads start, and covers the calling thread.
void install(std::string_view host, int output = 1);

// Covers the thread that creates it until its end. A thread without one is not reported when it
// overflows its stack, since the signal handler has no stack to run on.
class ThreadCover
{
public:
    // `name` must be a literal.
    explicit ThreadCover(const char *name);
    ~ThreadCover();
    ThreadCover(const ThreadCover &) = delete;
    ThreadCover &operator=(const ThreadCover &) = delete;

private:
    std::unique_ptr<std::byte[]> m_stack;
};

} // namespace egrettide::crash
