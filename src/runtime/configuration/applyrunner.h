// Runs one ConfigurationApply against the store: makes the calls, waits between them, enforces
// the deadline and turns answers into events.

#pragma once

#include "egrettide/core/configurationapply.h"
#include "runtime/host/timer.h"
#include "runtime/store/store.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <functional>

namespace egrettide
{

using ApplyHandler = std::function<void(const ApplyFinished &)>;

// Must be used from the io_context's single thread and must outlive the run.
class ApplyRunner
{
public:
    // `file` is a valid configuration in its file form.
    ApplyRunner(boost::asio::io_context &context, Store &store, ConfigurationApply::Settings settings, nlohmann::json file);
    ApplyRunner(const ApplyRunner &) = delete;
    ApplyRunner &operator=(const ApplyRunner &) = delete;

    // Runs the handler exactly once, no later than the deadline.
    void start(TimePoint deadline, ApplyHandler handler);

private:
    void perform(const ApplyAction &action);
    void feed(const ApplyEvent &event);
    void read(const ReadConfiguration &action);
    void write(const WriteConfiguration &action);
    void after(TimePoint moment, std::function<void()> step);
    TimePoint callDeadline() const;

    Store &m_store;
    ConfigurationApply m_apply;
    const nlohmann::json m_file;
    Timer m_pauseTimer;
    Timer m_deadlineTimer;
    TimePoint m_deadline;
    // Empty after the handler has run.
    ApplyHandler m_handler;
};

} // namespace egrettide
