// A deterministic model of one upstream under too much load: callers of two
// classes that ask again when refused or late, a policy that hands out slots, and
// the upstream's own servers. Shared by the overload bench and its test. Same
// settings and seed, same figures; no clock is read.

#pragma once

#include "egrettide/core/histogram.h"
#include "egrettide/core/slotscheduler.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace egrettide::overload
{

using Nanoseconds = std::chrono::nanoseconds;

inline Nanoseconds fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double>(seconds));
}

// What hands out slots. Mirrors SlotScheduler, so that a baseline can stand in.
class SlotPolicy
{
public:
    virtual ~SlotPolicy() = default;
    virtual Admission enqueue(const StatementTicket &ticket, TimePoint now) = 0;
    virtual SlotActions finished(std::uint64_t id, TimePoint now, Nanoseconds serviceTime) = 0;
    virtual SlotActions expire(TimePoint now) = 0;
    virtual TimePoint nextEventAt() const = 0;
    virtual void pause() = 0;
    virtual SlotActions resume(TimePoint now) = 0;
};

class ScheduledPolicy : public SlotPolicy
{
public:
    explicit ScheduledPolicy(SlotSchedulerOptions options) : m_scheduler(std::move(options))
    {
    }
    Admission enqueue(const StatementTicket &ticket, TimePoint now) override
    {
        return m_scheduler.enqueue(ticket, now);
    }
    SlotActions finished(std::uint64_t id, TimePoint now, Nanoseconds serviceTime) override
    {
        return m_scheduler.finished(id, now, serviceTime);
    }
    SlotActions expire(TimePoint now) override
    {
        return m_scheduler.expire(now);
    }
    TimePoint nextEventAt() const override
    {
        return m_scheduler.nextEventAt();
    }
    void pause() override
    {
        m_scheduler.pause();
    }
    SlotActions resume(TimePoint now) override
    {
        return m_scheduler.resume(now);
    }

private:
    SlotScheduler m_scheduler;
};

// The naive version: first come, first served, no classes, nothing refused.
class FifoPolicy : public SlotPolicy
{
public:
    explicit FifoPolicy(int slots) : m_slots(slots)
    {
    }
    Admission enqueue(const StatementTicket &ticket, TimePoint) override
    {
        if (!m_paused && m_inUse < m_slots) {
            ++m_inUse;
            return {AdmissionState::Admitted, std::nullopt};
        }
        m_queue.push_back(ticket.id);
        return {AdmissionState::Queued, std::nullopt};
    }
    SlotActions finished(std::uint64_t, TimePoint, Nanoseconds) override
    {
        --m_inUse;
        return serve();
    }
    SlotActions expire(TimePoint) override
    {
        return {};
    }
    TimePoint nextEventAt() const override
    {
        return TimePoint::max();
    }
    void pause() override
    {
        m_paused = true;
    }
    SlotActions resume(TimePoint) override
    {
        m_paused = false;
        return serve();
    }

private:
    SlotActions serve()
    {
        SlotActions actions;
        while (!m_paused && m_inUse < m_slots && !m_queue.empty()) {
            ++m_inUse;
            actions.admitted.push_back(m_queue.front());
            m_queue.pop_front();
        }
        return actions;
    }

    int m_slots;
    int m_inUse = 0;
    bool m_paused = false;
    std::deque<std::uint64_t> m_queue;
};

struct ClassLoad {
    std::string name;
    // Part of the upstream's capacity that first asks of this class need.
    double load = 0.1;
    Nanoseconds meanService = std::chrono::microseconds(6800);
    milliseconds timeout{2000};
    int tenants = 20;
};

struct ModelOptions {
    std::vector<ClassLoad> classes;
    // Servers that the upstream really has; the policy may believe in more.
    int servers = 5;
    // From then on the upstream has fewer servers, and each statement that it has to
    // queue slows all others down by this part.
    milliseconds degradedFrom{0};
    int degradedServers = 0;
    double contention = 0;
    // How often a caller asks for one thing, first ask included.
    int asks = 4;
    // True for callers that come back when they are told to; others do after
    // `impatience`, whatever they are told.
    bool honoursRetryAfter = true;
    milliseconds impatience{100};
    milliseconds warmUp{5000};
    milliseconds measured{30000};
    // A planned change of primary: writes are paused in between.
    milliseconds pausedFrom{0};
    milliseconds pausedUntil{0};
    std::uint64_t seed = 20261202;
};

// What happened to one class during the measured time.
struct ClassResult {
    std::uint64_t requests = 0;
    std::uint64_t asks = 0;
    std::uint64_t answered = 0;
    std::uint64_t refusals = 0;
    std::uint64_t late = 0;
    // Asks that left for the upstream.
    std::uint64_t executed = 0;
    // From an ask to its answer in time.
    Histogram latency;
    // From an ask to its refusal.
    Histogram refusalDelay;
};

struct ModelResult {
    std::map<std::string, ClassResult> classes;
    // Answers in time, in service time, as a part of what the servers can do.
    double goodput = 0;
    // Statements run by the upstream for each answer in time.
    double amplification = 0;
};

class OverloadModel
{
public:
    OverloadModel(ModelOptions options, std::unique_ptr<SlotPolicy> policy)
        : m_options(std::move(options)), m_policy(std::move(policy)), m_random(m_options.seed)
    {
    }

    ModelResult run()
    {
        for (std::size_t index = 0; index < m_options.classes.size(); ++index) {
            scheduleArrival(index);
        }
        if (m_options.pausedUntil > m_options.pausedFrom) {
            at(start() + m_options.pausedFrom, [this] { m_policy->pause(); });
            at(start() + m_options.pausedUntil, [this] { take(m_policy->resume(m_now)); });
        }
        if (m_options.degradedServers > 0) {
            at(start() + m_options.degradedFrom, [this] { m_options.servers = m_options.degradedServers; });
        }
        const TimePoint end = start() + m_options.warmUp + m_options.measured;
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
            scheduleExpiry();
        }
        return summary();
    }

private:
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    // One thing that a caller wants; it may ask for it several times.
    struct Request {
        std::size_t classIndex = 0;
        std::string tenant;
        bool isWrite = false;
        int asks = 0;
        bool counts = false;
    };

    struct Ask {
        std::uint64_t request = 0;
        TimePoint askedAt;
        TimePoint deadline;
        TimePoint sentAt;
        Nanoseconds service{0};
        // False once the caller has its answer or has turned away.
        bool isAwaited = true;
    };

    static TimePoint start()
    {
        return TimePoint(std::chrono::hours(1));
    }

    void at(TimePoint when, std::function<void()> action)
    {
        m_events.push({when, m_nextOrder++, std::move(action)});
    }

    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(m_random);
    }

    void scheduleArrival(std::size_t classIndex)
    {
        const ClassLoad &load = m_options.classes[classIndex];
        if (load.load <= 0) {
            return;
        }
        const double service = std::chrono::duration<double>(load.meanService).count();
        const double interval = service / (load.load * m_capacity);
        at(std::max(m_now, start()) + fromSeconds(exponential(interval)), [this, classIndex] {
            arrive(classIndex);
            scheduleArrival(classIndex);
        });
    }

    bool isMeasured() const
    {
        return m_now >= start() + m_options.warmUp;
    }

    void arrive(std::size_t classIndex)
    {
        const ClassLoad &load = m_options.classes[classIndex];
        const std::uint64_t id = m_nextRequest++;
        Request &request = m_requests[id];
        request.classIndex = classIndex;
        request.tenant = load.name + std::to_string(m_random() % static_cast<std::uint64_t>(load.tenants));
        request.isWrite = m_random() % 2 == 0;
        request.counts = isMeasured();
        if (request.counts) {
            ++result(request).requests;
        }
        ask(id);
    }

    void ask(std::uint64_t requestId)
    {
        Request &request = m_requests[requestId];
        const ClassLoad &load = m_options.classes[request.classIndex];
        ++request.asks;
        const std::uint64_t id = m_nextAsk++;
        Ask &ask = m_asks[id];
        ask.request = requestId;
        ask.askedAt = m_now;
        ask.deadline = m_now + load.timeout;
        ask.service = fromSeconds(exponential(std::chrono::duration<double>(load.meanService).count()));
        if (request.counts) {
            ++result(request).asks;
        }
        at(ask.deadline, [this, id] { timeOut(id); });
        const StatementTicket ticket{
            id, load.name, request.tenant, ask.deadline, request.isWrite ? StatementKind::Write : StatementKind::Read, false};
        const Admission admission = m_policy->enqueue(ticket, m_now);
        if (admission.state == AdmissionState::Admitted) {
            send(id);
        } else if (admission.state == AdmissionState::Refused) {
            refused(id, *admission.error);
        }
    }

    void take(const SlotActions &actions)
    {
        for (const std::uint64_t id : actions.admitted) {
            send(id);
        }
        for (const TicketRefusal &refusal : actions.refused) {
            refused(refusal.id, refusal.error);
        }
    }

    void send(std::uint64_t id)
    {
        m_asks[id].sentAt = m_now;
        const Request &request = m_requests[m_asks[id].request];
        if (request.counts) {
            ++result(request).executed;
        }
        m_upstreamQueue.push_back(id);
        serve();
    }

    void serve()
    {
        while (m_serving < m_options.servers && !m_upstreamQueue.empty()) {
            const std::uint64_t id = m_upstreamQueue.front();
            m_upstreamQueue.pop_front();
            ++m_serving;
            const double slower = 1 + m_options.contention * static_cast<double>(m_upstreamQueue.size());
            at(m_now + fromSeconds(std::chrono::duration<double>(m_asks[id].service).count() * slower),
               [this, id] { answer(id); });
        }
    }

    void answer(std::uint64_t id)
    {
        --m_serving;
        const Ask ask = m_asks[id];
        m_asks.erase(id);
        const Request &request = m_requests[ask.request];
        if (ask.isAwaited) {
            if (isMeasured()) {
                m_goodService += std::chrono::duration<double>(ask.service).count();
            }
            if (request.counts) {
                ++result(request).answered;
                result(request).latency.record(m_now - ask.askedAt);
            }
            m_requests.erase(ask.request);
        }
        serve();
        take(m_policy->finished(id, m_now, m_now - ask.sentAt));
    }

    void refused(std::uint64_t id, const Error &error)
    {
        const Ask ask = m_asks[id];
        m_asks.erase(id);
        const Request &request = m_requests[ask.request];
        if (request.counts) {
            ++result(request).refusals;
            result(request).refusalDelay.record(m_now - ask.askedAt);
        }
        askAgain(ask.request, m_options.honoursRetryAfter ? error.retryAfter : m_options.impatience);
    }

    void timeOut(std::uint64_t id)
    {
        const auto found = m_asks.find(id);
        if (found == m_asks.end()) {
            return;
        }
        found->second.isAwaited = false;
        const Request &request = m_requests[found->second.request];
        if (request.counts) {
            ++result(request).late;
        }
        askAgain(found->second.request, m_options.impatience);
    }

    void askAgain(std::uint64_t requestId, milliseconds after)
    {
        if (m_requests[requestId].asks >= m_options.asks) {
            m_requests.erase(requestId);
            return;
        }
        at(m_now + after, [this, requestId] { ask(requestId); });
    }

    void scheduleExpiry()
    {
        const TimePoint next = m_policy->nextEventAt();
        if (next == TimePoint::max() || (m_expiryAt > m_now && m_expiryAt <= next)) {
            return;
        }
        m_expiryAt = std::max(next, m_now);
        at(m_expiryAt, [this] { take(m_policy->expire(m_now)); });
    }

    ClassResult &result(const Request &request)
    {
        return m_result.classes[m_options.classes[request.classIndex].name];
    }

    ModelResult summary()
    {
        const double capacity = std::chrono::duration<double>(m_options.measured).count() * m_capacity;
        m_result.goodput = m_goodService / capacity;
        std::uint64_t executed = 0;
        std::uint64_t answered = 0;
        for (const auto &[name, classResult] : m_result.classes) {
            executed += classResult.executed;
            answered += classResult.answered;
        }
        m_result.amplification = answered == 0 ? 0 : static_cast<double>(executed) / static_cast<double>(answered);
        return m_result;
    }

    ModelOptions m_options;
    std::unique_ptr<SlotPolicy> m_policy;
    std::mt19937_64 m_random;
    // Servers at the start; loads and goodput are parts of these.
    int m_capacity = m_options.servers;
    TimePoint m_now = start();
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextOrder = 0;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextAsk = 1;
    std::unordered_map<std::uint64_t, Request> m_requests;
    // Asks that are queued or at the upstream, awaited or not.
    std::unordered_map<std::uint64_t, Ask> m_asks;
    std::deque<std::uint64_t> m_upstreamQueue;
    int m_serving = 0;
    TimePoint m_expiryAt = TimePoint::min();
    double m_goodService = 0;
    ModelResult m_result;
};

// Desks and parents as the bench and the test use them.
inline SlotSchedulerOptions schedulerOptions(int slots)
{
    SlotSchedulerOptions options;
    options.slots = slots;
    ClassSpec desks;
    desks.name = "desks";
    desks.reservedShare = 0.3;
    desks.priority = 10;
    ClassSpec parents;
    parents.name = "parents";
    options.classes = {desks, parents};
    options.maximumTransactions = 10;
    return options;
}

inline ModelOptions modelOptions(int slots, double parentsLoad)
{
    ModelOptions options;
    options.servers = slots;
    ClassLoad desks;
    desks.name = "desks";
    desks.load = 0.1;
    ClassLoad parents;
    parents.name = "parents";
    parents.load = parentsLoad;
    options.classes = {desks, parents};
    return options;
}

inline ModelResult runScheduled(const ModelOptions &model, const SlotSchedulerOptions &scheduler)
{
    return OverloadModel(model, std::make_unique<ScheduledPolicy>(scheduler)).run();
}

inline ModelResult runFifo(const ModelOptions &model, int slots)
{
    return OverloadModel(model, std::make_unique<FifoPolicy>(slots)).run();
}

} // namespace egrettide::overload
