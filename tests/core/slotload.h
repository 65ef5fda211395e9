// Runs a load against a scheduler in simulated time, with several kinds of callers and
// exponentially distributed arrivals and service times, and counts the outcomes.

#pragma once

#include "egrettide/core/slotscheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace egrettide::test
{

struct CallerKind {
    std::string className;
    // The fraction of all arrivals, 0 to 1.
    double share = 1;
    milliseconds meanService{0};
    // The objective in the tickets; unset if they have none.
    std::optional<milliseconds> sentObjective;
    // The response time that counts as in time.
    milliseconds objective{0};
    milliseconds timeout{0};
};

// Load above capacity until `overloadEnds`, and below it afterwards.
struct LoadShape {
    TimePoint start;
    TimePoint overloadEnds;
    TimePoint ends;
    // Slots needed by the arrivals, relative to the available slots.
    double overload = 1;
    double loadAfterOverload = 0.5;
};

struct Tally {
    int requests = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;

    double shareInTime() const
    {
        return requests == 0 ? 0 : static_cast<double>(inTime) / requests;
    }
};

class SlotLoad
{
public:
    SlotLoad(SlotSchedulerOptions options, std::vector<CallerKind> kinds, const LoadShape &shape, std::uint64_t seed)
        : m_slots(options.slots)
        , m_kinds(std::move(kinds))
        , m_shape(shape)
        , m_random(seed)
        , m_scheduler(std::move(options))
        , m_now(shape.start)
    {
    }

    // The outcomes by class name.
    std::map<std::string, Tally> run()
    {
        TimePoint next = m_shape.start;
        while (next < m_shape.ends || !m_running.empty()) {
            const TimePoint ends = m_running.empty() ? TimePoint::max() : m_running.top().first;
            const TimePoint due = m_scheduler.nextEventAt();
            m_now = std::min({next < m_shape.ends ? next : TimePoint::max(), ends, std::max(due, m_now)});
            if (m_now == ends) {
                finishOne();
            } else if (m_now == next) {
                enqueueNext();
                next += randomInterarrivalTime();
            } else {
                applyActions(m_scheduler.expire(m_now));
            }
        }
        return m_outcome;
    }

private:
    Clock::duration randomDuration(double meanMilliseconds)
    {
        std::exponential_distribution<double> distribution(1.0 / meanMilliseconds);
        return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double, std::milli>(distribution(m_random)));
    }

    double meanService() const
    {
        double mean = 0;
        for (const CallerKind &kind : m_kinds) {
            mean += kind.share * static_cast<double>(kind.meanService.count());
        }
        return mean;
    }

    Clock::duration randomInterarrivalTime()
    {
        const double load = m_now < m_shape.overloadEnds ? m_shape.overload : m_shape.loadAfterOverload;
        return randomDuration(meanService() / m_slots / load);
    }

    const CallerKind &randomKind()
    {
        if (m_kinds.size() == 1) {
            return m_kinds.front();
        }
        double left = std::uniform_real_distribution<double>(0, 1)(m_random);
        for (const CallerKind &kind : m_kinds) {
            left -= kind.share;
            if (left < 0) {
                return kind;
            }
        }
        return m_kinds.back();
    }

    void enqueueNext()
    {
        const CallerKind &kind = randomKind();
        ++m_outcome[kind.className].requests;
        StatementTicket ticket;
        ticket.id = ++m_lastId;
        ticket.className = kind.className;
        ticket.kind = StatementKind::Read;
        ticket.deadline = m_now + kind.timeout;
        if (kind.sentObjective) {
            ticket.objective = m_now + *kind.sentObjective;
        }
        m_requests[ticket.id] = {m_now, &kind};
        const Admission admission = m_scheduler.enqueue(ticket, m_now);
        if (admission.state == AdmissionState::Admitted) {
            begin(ticket.id);
        } else if (admission.state == AdmissionState::Refused) {
            ++m_outcome[kind.className].refused;
        }
    }

    void begin(std::uint64_t id)
    {
        const auto lasts = randomDuration(static_cast<double>(m_requests.at(id).second->meanService.count()));
        m_running.emplace(m_now + lasts, std::make_pair(id, lasts));
    }

    void applyActions(const SlotActions &actions)
    {
        for (const std::uint64_t id : actions.admitted) {
            begin(id);
        }
        for (const TicketRefusal &refusal : actions.refused) {
            ++m_outcome[m_requests.at(refusal.id).second->className].refused;
        }
    }

    void finishOne()
    {
        const auto [id, lasted] = m_running.top().second;
        m_running.pop();
        const auto [enqueuedAt, kind] = m_requests.at(id);
        Tally &tally = m_outcome[kind->className];
        ++(m_now <= enqueuedAt + kind->objective ? tally.inTime : tally.late);
        applyActions(m_scheduler.finished(id, m_now, lasted));
    }

    using Running = std::pair<TimePoint, std::pair<std::uint64_t, Clock::duration>>;

    const int m_slots;
    const std::vector<CallerKind> m_kinds;
    const LoadShape m_shape;
    std::mt19937_64 m_random;
    SlotScheduler m_scheduler;
    TimePoint m_now;
    std::uint64_t m_lastId = 0;
    // The arrival and the kind of each ticket.
    std::map<std::uint64_t, std::pair<TimePoint, const CallerKind *>> m_requests;
    std::priority_queue<Running, std::vector<Running>, std::greater<>> m_running;
    std::map<std::string, Tally> m_outcome;
};

} // namespace egrettide::test
