// A discrete-event simulation of one upstream under overload: callers of several
// classes that retry after refusals and timeouts, a policy that assigns slots, and the
// upstream's servers. Shared by the overload benchmark and its test. Runs in simulated
// time; the same options and seed give the same figures.

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

// Assigns the slots. Has the part of SlotScheduler's interface that the model calls, so
// that a baseline can take the scheduler's place.
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

class SchedulerPolicy : public SlotPolicy
{
public:
    explicit SchedulerPolicy(SlotSchedulerOptions options) : m_scheduler(std::move(options))
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

// The baseline: a FIFO queue without classes that refuses nothing.
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
        return dispatch();
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
        return dispatch();
    }

private:
    SlotActions dispatch()
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
    // Offered load of this class without retries, as a fraction of the upstream's capacity.
    double load = 0.1;
    Nanoseconds meanService = std::chrono::microseconds(6800);
    milliseconds timeout{2000};
    int tenants = 20;
};

struct ModelOptions {
    std::vector<ClassLoad> classes;
    // Servers of the upstream, each of which runs one statement at a time; the policy may
    // assume more.
    int servers = 5;
    // From `degradedFrom` after the start, the upstream has `degradedServers` servers; 0 for
    // no change.
    milliseconds degradedFrom{0};
    int degradedServers = 0;
    // Relative increase of a statement's service time for each statement that is queued at
    // the upstream when it starts; applies during the whole run.
    double contention = 0;
    // Attempts per request, including the first.
    int maxAttempts = 4;
    // True if callers retry a refused attempt after Error::retryAfter; otherwise after
    // `retryDelay`, as they always do after a timeout.
    bool honoursRetryAfter = true;
    milliseconds retryDelay{100};
    milliseconds warmUp{5000};
    milliseconds measured{30000};
    // The policy is paused between these times after the start, as during a planned change of
    // primary: the scheduler holds back writes, the FIFO queue all statements.
    milliseconds pausedFrom{0};
    milliseconds pausedUntil{0};
    std::uint64_t seed = 20261202;
};

// Results of the requests of one class that arrived during the measured time.
struct ClassResult {
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    std::uint64_t answered = 0;
    std::uint64_t refusals = 0;
    std::uint64_t timeouts = 0;
    // Attempts sent to the upstream.
    std::uint64_t sent = 0;
    // From an attempt to its answer; only answers before the timeout.
    Histogram latency;
    // From an attempt to its refusal.
    Histogram refusalDelay;
};

struct ModelResult {
    std::map<std::string, ClassResult> classes;
    // Service time of statements answered before their timeout, as a fraction of the
    // capacity of the initial servers.
    double goodput = 0;
    // Statements sent to the upstream for each answer before the timeout.
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
            schedule(start() + m_options.pausedFrom, [this] { m_policy->pause(); });
            schedule(start() + m_options.pausedUntil, [this] { apply(m_policy->resume(m_now)); });
        }
        if (m_options.degradedServers > 0) {
            schedule(start() + m_options.degradedFrom, [this] { m_options.servers = m_options.degradedServers; });
        }
        const TimePoint end = start() + m_options.warmUp + m_options.measured;
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
            scheduleExpiry();
        }
        return summarize();
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

    // One request of a caller, made in one or more attempts.
    struct Request {
        std::size_t classIndex = 0;
        std::string tenant;
        bool isWrite = false;
        int attempts = 0;
        bool isMeasured = false;
    };

    struct Attempt {
        std::uint64_t request = 0;
        TimePoint startedAt;
        TimePoint deadline;
        TimePoint sentAt;
        Nanoseconds service{0};
        // False after the timeout: the caller no longer waits for the answer.
        bool isAwaited = true;
    };

    static TimePoint start()
    {
        return TimePoint(std::chrono::hours(1));
    }

    void schedule(TimePoint when, std::function<void()> action)
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
        schedule(std::max(m_now, start()) + fromSeconds(exponential(interval)), [this, classIndex] {
            onArrival(classIndex);
            scheduleArrival(classIndex);
        });
    }

    bool isMeasured() const
    {
        return m_now >= start() + m_options.warmUp;
    }

    void onArrival(std::size_t classIndex)
    {
        const ClassLoad &load = m_options.classes[classIndex];
        const std::uint64_t id = m_nextRequest++;
        Request &request = m_requests[id];
        request.classIndex = classIndex;
        request.tenant = load.name + std::to_string(m_random() % static_cast<std::uint64_t>(load.tenants));
        request.isWrite = m_random() % 2 == 0;
        request.isMeasured = isMeasured();
        if (request.isMeasured) {
            ++result(request).requests;
        }
        startAttempt(id);
    }

    void startAttempt(std::uint64_t requestId)
    {
        Request &request = m_requests[requestId];
        const ClassLoad &load = m_options.classes[request.classIndex];
        ++request.attempts;
        const std::uint64_t id = m_nextAttempt++;
        Attempt &attempt = m_attempts[id];
        attempt.request = requestId;
        attempt.startedAt = m_now;
        attempt.deadline = m_now + load.timeout;
        attempt.service = fromSeconds(exponential(std::chrono::duration<double>(load.meanService).count()));
        if (request.isMeasured) {
            ++result(request).attempts;
        }
        schedule(attempt.deadline, [this, id] { onTimeout(id); });
        const StatementTicket ticket{
            id, load.name, request.tenant, attempt.deadline, request.isWrite ? StatementKind::Write : StatementKind::Read, false};
        const Admission admission = m_policy->enqueue(ticket, m_now);
        if (admission.state == AdmissionState::Admitted) {
            send(id);
        } else if (admission.state == AdmissionState::Refused) {
            onRefused(id, *admission.error);
        }
    }

    void apply(const SlotActions &actions)
    {
        for (const std::uint64_t id : actions.admitted) {
            send(id);
        }
        for (const TicketRefusal &refusal : actions.refused) {
            onRefused(refusal.id, refusal.error);
        }
    }

    void send(std::uint64_t id)
    {
        m_attempts[id].sentAt = m_now;
        const Request &request = m_requests[m_attempts[id].request];
        if (request.isMeasured) {
            ++result(request).sent;
        }
        m_upstreamQueue.push_back(id);
        startService();
    }

    void startService()
    {
        while (m_busyServers < m_options.servers && !m_upstreamQueue.empty()) {
            const std::uint64_t id = m_upstreamQueue.front();
            m_upstreamQueue.pop_front();
            ++m_busyServers;
            const double slowdown = 1 + m_options.contention * static_cast<double>(m_upstreamQueue.size());
            schedule(m_now + fromSeconds(std::chrono::duration<double>(m_attempts[id].service).count() * slowdown),
                     [this, id] { onAnswered(id); });
        }
    }

    void onAnswered(std::uint64_t id)
    {
        --m_busyServers;
        const Attempt attempt = m_attempts[id];
        m_attempts.erase(id);
        const Request &request = m_requests[attempt.request];
        if (attempt.isAwaited) {
            if (isMeasured()) {
                m_usefulServiceSeconds += std::chrono::duration<double>(attempt.service).count();
            }
            if (request.isMeasured) {
                ++result(request).answered;
                result(request).latency.record(m_now - attempt.startedAt);
            }
            m_requests.erase(attempt.request);
        }
        startService();
        apply(m_policy->finished(id, m_now, m_now - attempt.sentAt));
    }

    void onRefused(std::uint64_t id, const Error &error)
    {
        const Attempt attempt = m_attempts[id];
        m_attempts.erase(id);
        const Request &request = m_requests[attempt.request];
        if (request.isMeasured) {
            ++result(request).refusals;
            result(request).refusalDelay.record(m_now - attempt.startedAt);
        }
        retry(attempt.request, m_options.honoursRetryAfter ? error.retryAfter : m_options.retryDelay);
    }

    void onTimeout(std::uint64_t id)
    {
        const auto found = m_attempts.find(id);
        if (found == m_attempts.end()) {
            return;
        }
        found->second.isAwaited = false;
        const Request &request = m_requests[found->second.request];
        if (request.isMeasured) {
            ++result(request).timeouts;
        }
        retry(found->second.request, m_options.retryDelay);
    }

    void retry(std::uint64_t requestId, milliseconds after)
    {
        if (m_requests[requestId].attempts >= m_options.maxAttempts) {
            m_requests.erase(requestId);
            return;
        }
        schedule(m_now + after, [this, requestId] { startAttempt(requestId); });
    }

    void scheduleExpiry()
    {
        const TimePoint next = m_policy->nextEventAt();
        if (next == TimePoint::max() || (m_expiryAt > m_now && m_expiryAt <= next)) {
            return;
        }
        m_expiryAt = std::max(next, m_now);
        schedule(m_expiryAt, [this] { apply(m_policy->expire(m_now)); });
    }

    ClassResult &result(const Request &request)
    {
        return m_result.classes[m_options.classes[request.classIndex].name];
    }

    ModelResult summarize()
    {
        const double capacity = std::chrono::duration<double>(m_options.measured).count() * m_capacity;
        m_result.goodput = m_usefulServiceSeconds / capacity;
        std::uint64_t sent = 0;
        std::uint64_t answered = 0;
        for (const auto &[name, classResult] : m_result.classes) {
            sent += classResult.sent;
            answered += classResult.answered;
        }
        m_result.amplification = answered == 0 ? 0 : static_cast<double>(sent) / static_cast<double>(answered);
        return m_result;
    }

    ModelOptions m_options;
    std::unique_ptr<SlotPolicy> m_policy;
    std::mt19937_64 m_random;
    // Initial number of servers; loads and goodput are fractions of it.
    int m_capacity = m_options.servers;
    TimePoint m_now = start();
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextOrder = 0;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextAttempt = 1;
    std::unordered_map<std::uint64_t, Request> m_requests;
    // Attempts that are queued or at the upstream, including those that have timed out.
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    std::deque<std::uint64_t> m_upstreamQueue;
    int m_busyServers = 0;
    TimePoint m_expiryAt = TimePoint::min();
    double m_usefulServiceSeconds = 0;
    ModelResult m_result;
};

// The scheduler options of the benchmark and the test: `desks` have a higher
// priority and a reservation, `parents` have no reservation.
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
    return OverloadModel(model, std::make_unique<SchedulerPolicy>(scheduler)).run();
}

inline ModelResult runFifo(const ModelOptions &model, int slots)
{
    return OverloadModel(model, std::make_unique<FifoPolicy>(slots)).run();
}

} // namespace egrettide::overload
