// Callers that connect before their host has its first configuration. A host that has just started
// has it after some tenths of a second; a caller that is refused meanwhile connects to another host
// that has just started as well, and runs out of attempts.

#pragma once

#include "egrettide/core/types.h"
#include "runtime/host/timer.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace egrettide::detail
{

// The place of one caller; releasing it gives it up.
using StartupHold = std::shared_ptr<const std::function<void()>>;

// The callers of one thread that wait for the first configuration, each for a limited time.
class StartupHolds
{
public:
    StartupHolds(boost::asio::io_context &context, std::size_t limit, milliseconds maxHold)
        : m_limit(limit), m_maxHold(maxHold), m_timer(context)
    {
    }

    // Calls `resume` once, from resumeAll() or when the time is over, unless the place is given up
    // before. Null when as many callers wait as may.
    StartupHold add(std::function<void()> resume)
    {
        std::erase_if(m_held, [](const Held &held) { return held.place.expired(); });
        if (m_held.size() >= m_limit) {
            return nullptr;
        }
        auto place = std::make_shared<const std::function<void()>>(std::move(resume));
        m_held.push_back({place, Clock::now() + m_maxHold});
        if (m_held.size() == 1) {
            armTimer();
        }
        return place;
    }

    void resumeAll()
    {
        m_timer.cancel();
        resumeUntil(TimePoint::max());
    }

private:
    struct Held {
        std::weak_ptr<const std::function<void()>> place;
        TimePoint until;
    };

    void resumeUntil(TimePoint now)
    {
        while (!m_held.empty() && m_held.front().until <= now) {
            const auto place = m_held.front().place.lock();
            m_held.pop_front();
            if (place) {
                (*place)();
            }
        }
    }

    void armTimer()
    {
        m_timer.expires_at(m_held.front().until);
        m_timer.async_wait([this](const boost::system::error_code &cancelled) {
            if (cancelled) {
                return;
            }
            resumeUntil(Clock::now());
            if (!m_held.empty()) {
                armTimer();
            }
        });
    }

    const std::size_t m_limit;
    const milliseconds m_maxHold;
    Timer m_timer;
    // Invariant: in order of `until`.
    std::deque<Held> m_held;
};

} // namespace egrettide::detail
