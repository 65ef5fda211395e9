// The steps of a graceful stop, and the final stop.

#include "runtime/host/hostdaemonimpl.h"
#include "runtime/host/postedwork.h"

namespace egrettide
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds drainPoll{20};
// The time allowed for sending the announcement of the departure.
constexpr milliseconds departureDelay{100};

} // namespace

// Stopping.

void HostDaemon::Impl::beginStop()
{
    if (m_leaving.exchange(true)) {
        return;
    }
    asio::post(m_control, [this] {
        log::info("stop_begun", {{"callers", m_front->openConnections()}});
        m_membership->leave();
        const TimePoint begun = Clock::now();
        m_drainTimer->expires_at(begun + m_settings.balancerNotice);
        m_drainTimer->async_wait([this, begun](const boost::system::error_code &failure) {
            if (!failure) {
                m_front->beginDrain();
                drainCallers(begun + m_settings.stopBound);
            }
        });
    });
}

void HostDaemon::Impl::drainCallers(TimePoint deadline)
{
    if (m_front->openConnections() == 0 || Clock::now() >= deadline) {
        drainHomes(deadline);
        return;
    }
    m_drainTimer->expires_after(drainPoll);
    m_drainTimer->async_wait([this, deadline](const boost::system::error_code &failure) {
        if (!failure) {
            drainCallers(deadline);
        }
    });
}

void HostDaemon::Impl::drainHomes(TimePoint deadline)
{
    auto done = std::make_shared<bool>(false);
    const auto once = [this, done] {
        if (!std::exchange(*done, true)) {
            m_drainTimer->cancel();
            departAndStop();
        }
    };
    m_drainTimer->expires_at(deadline);
    m_drainTimer->async_wait([once](const boost::system::error_code &failure) {
        if (!failure) {
            log::warning("drain_cut_short", {});
            once();
        }
    });
    m_homes->drain(once);
}

void HostDaemon::Impl::departAndStop()
{
    m_membership->depart();
    auto timer = std::make_shared<Timer>(m_control, departureDelay);
    timer->async_wait([this, timer](const boost::system::error_code &) {
        m_record.log("stopping");
        log::info("stop_complete", {});
        stopNow();
    });
}

void HostDaemon::Impl::stopNow()
{
    const std::lock_guard<std::mutex> lock(m_stopMutex);
    m_stopped = true;
    m_stopChanged.notify_all();
}

void HostDaemon::Impl::wait()
{
    {
        std::unique_lock<std::mutex> lock(m_stopMutex);
        m_stopChanged.wait(lock, [this] { return m_stopped; });
    }
    join();
}

void HostDaemon::Impl::join()
{
    if (m_threads.empty()) {
        return;
    }
    m_front->stop();
    m_homes->stop();
    m_guards.clear();
    m_control.stop();
    m_link.stop();
    for (const auto &context : m_traffic) {
        context->stop();
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    std::vector<asio::io_context *> contexts = trafficContexts();
    contexts.push_back(&m_link);
    contexts.push_back(&m_control);
    finishPosted(contexts);
}

} // namespace egrettide
