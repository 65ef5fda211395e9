// Runs a recomputation at its pace.

#include "runtime/host/pacedtask.h"

#include <utility>

namespace egrettide
{

PacedTask::PacedTask(boost::asio::io_context &context, std::function<void()> run) : m_run(std::move(run)), m_timer(context)
{
}

void PacedTask::request()
{
    if (m_waits) {
        return;
    }
    const TimePoint now = Clock::now();
    const TimePoint due = m_pace.dueAt(now);
    if (due <= now) {
        runNow();
        return;
    }
    m_waits = true;
    m_timer.expires_at(due);
    m_timer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled && m_waits) {
            runNow();
        }
    });
}

void PacedTask::runNow()
{
    cancel();
    const TimePoint began = Clock::now();
    m_run();
    m_pace.onDone(began, Clock::now());
}

void PacedTask::cancel()
{
    m_waits = false;
    m_timer.cancel();
}

} // namespace egrettide
