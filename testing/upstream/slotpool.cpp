// Counts running statements and assigns freed slots to queued ones.

#include "testing/upstream/slotpool.h"

#include <algorithm>
#include <utility>

namespace egrettide::testing
{

SlotPool::SlotPool(boost::asio::io_context &io, int slots) : m_io(io), m_slots(slots)
{
}

SlotPool::Ticket SlotPool::submit(std::chrono::microseconds duration, std::function<void()> done)
{
    const Ticket ticket = m_nextTicket++;
    m_jobs.emplace(ticket, Job{duration, std::move(done), nullptr});
    m_queue.push_back(ticket);
    startNext();
    m_maxQueue = std::max(m_maxQueue, queue());
    return ticket;
}

void SlotPool::startNext()
{
    while (m_running < m_slots && !m_queue.empty()) {
        const Ticket ticket = m_queue.front();
        m_queue.pop_front();
        start(ticket, m_jobs.at(ticket));
    }
}

void SlotPool::start(Ticket ticket, Job &job)
{
    ++m_running;
    job.timer = std::make_unique<Timer>(m_io, job.duration);
    job.timer->async_wait([this, ticket](const boost::system::error_code &error) {
        if (!error) {
            finish(ticket);
        }
    });
}

void SlotPool::finish(Ticket ticket)
{
    const auto found = m_jobs.find(ticket);
    if (found == m_jobs.end()) {
        return;
    }
    const std::function<void()> done = std::move(found->second.done);
    m_jobs.erase(found);
    --m_running;
    done();
    startNext();
}

bool SlotPool::cancel(Ticket ticket)
{
    const auto found = m_jobs.find(ticket);
    if (found == m_jobs.end()) {
        return false;
    }
    if (found->second.timer) {
        --m_running;
    }
    m_jobs.erase(found);
    m_queue.erase(std::remove(m_queue.begin(), m_queue.end(), ticket), m_queue.end());
    startNext();
    return true;
}

void SlotPool::setSlots(int slots)
{
    m_slots = slots;
    startNext();
}

} // namespace egrettide::testing
