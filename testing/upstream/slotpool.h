// The slots of one upstream: they limit the statements that run at once; further
// statements queue in the order of arrival.

#pragma once

#include "runtime/host/timer.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace egrettide::testing
{

class SlotPool
{
public:
    // Identifies one submitted statement.
    using Ticket = std::uint64_t;

    SlotPool(boost::asio::io_context &io, int slots);
    SlotPool(const SlotPool &) = delete;
    SlotPool &operator=(const SlotPool &) = delete;

    // Calls `done` once the statement has held a slot for `duration`, never from
    // within submit().
    Ticket submit(std::chrono::microseconds duration, std::function<void()> done);
    // Removes a statement; false when it is already done.
    bool cancel(Ticket ticket);
    // A lower number takes effect as running statements end.
    void setSlots(int slots);
    int queue() const
    {
        return static_cast<int>(m_queue.size());
    }
    int maxQueue() const
    {
        return m_maxQueue;
    }

private:
    struct Job {
        std::chrono::microseconds duration{0};
        std::function<void()> done;
        // Null while it queues.
        std::unique_ptr<Timer> timer;
    };

    void startNext();
    void start(Ticket ticket, Job &job);
    void finish(Ticket ticket);

    boost::asio::io_context &m_io;
    int m_slots;
    int m_maxQueue = 0;
    // Invariant: the number of jobs that have a timer.
    int m_running = 0;
    Ticket m_nextTicket = 1;
    std::map<Ticket, Job> m_jobs;
    // Invariant: holds exactly the jobs without a timer.
    std::deque<Ticket> m_queue;
};

} // namespace egrettide::testing
