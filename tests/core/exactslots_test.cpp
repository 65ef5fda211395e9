// The load after all hosts have started again: a standing queue before an upstream
// whose slots are known exactly, and statements of very different length.

#define BOOST_TEST_MODULE ExactSlots
#include <boost/test/unit_test.hpp>

#include "egrettide/core/slotscheduler.h"

#include <map>
#include <queue>
#include <random>

using namespace egrettide;

namespace
{

constexpr int slots = 5;
// 5 slots of 33 ms run 150 a second; this is half of it.
constexpr milliseconds spacing{13};
constexpr milliseconds patience{1000};
constexpr milliseconds played{20000};
constexpr milliseconds watchedFrom{10000};
// Callers that waited while the hosts were away and come all at once.
constexpr int returning = 60;
// What a new home sees first: statements that take almost no time.
constexpr int quickOnes = 100;

struct Counts {
    int asked = 0;
    int refused = 0;
};

// Plays the load against one policy and counts what becomes of the callers once the
// first crowd is long gone.
class Played
{
public:
    explicit Played(LimitPolicy policy) : m_scheduler(options(policy))
    {
    }

    Counts run()
    {
        for (int i = 0; i < returning; ++i) {
            ask();
        }
        for (TimePoint next = m_now; m_now < start() + played; next += spacing) {
            while (!m_running.empty() && m_running.top().first <= next) {
                finishOne();
            }
            m_now = next;
            take(m_scheduler.expire(m_now));
            ask();
        }
        return m_outcome;
    }

private:
    static TimePoint start()
    {
        return TimePoint{std::chrono::seconds(100)};
    }

    static SlotSchedulerOptions options(LimitPolicy policy)
    {
        SlotSchedulerOptions options;
        options.slots = slots;
        options.limitPolicy = policy;
        options.classes = {ClassSpec{"all", 0, patience, 0}};
        return options;
    }

    void ask()
    {
        StatementTicket ticket;
        ticket.id = ++m_lastId;
        ticket.className = "all";
        ticket.deadline = m_now + patience;
        ticket.kind = StatementKind::Read;
        m_outcome.asked += watched() ? 1 : 0;
        const Admission admission = m_scheduler.enqueue(ticket, m_now);
        if (admission.state == AdmissionState::Admitted) {
            begin(ticket.id);
        } else if (admission.state == AdmissionState::Refused) {
            m_outcome.refused += watched() ? 1 : 0;
        }
    }

    void finishOne()
    {
        const auto [endsAt, id] = m_running.top();
        m_running.pop();
        m_now = endsAt;
        take(m_scheduler.finished(id, m_now, m_durations.at(id)));
    }

    void take(const SlotActions &actions)
    {
        for (const std::uint64_t id : actions.admitted) {
            begin(id);
        }
        m_outcome.refused += watched() ? static_cast<int>(actions.refused.size()) : 0;
    }

    void begin(std::uint64_t id)
    {
        const bool quick = ++m_begun <= quickOnes;
        const auto duration = quick ? std::chrono::nanoseconds(milliseconds(2)) : drawn();
        m_durations[id] = duration;
        m_running.emplace(m_now + std::chrono::duration_cast<Clock::duration>(duration), id);
    }

    // Around 33 ms, as unevenly as real statements.
    std::chrono::nanoseconds drawn()
    {
        std::lognormal_distribution<double> draw(3.25, 0.7);
        return std::chrono::nanoseconds(static_cast<std::int64_t>(draw(m_random) * 1e6));
    }

    bool watched() const
    {
        return m_now >= start() + watchedFrom;
    }

    using Ending = std::pair<TimePoint, std::uint64_t>;

    SlotScheduler m_scheduler;
    TimePoint m_now = start();
    std::mt19937_64 m_random{20261202};
    std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_running;
    std::map<std::uint64_t, std::chrono::nanoseconds> m_durations;
    std::uint64_t m_lastId = 0;
    int m_begun = 0;
    Counts m_outcome;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlotsThatAreExact)

BOOST_AUTO_TEST_CASE(ServeHalfOfTheirLoadWithoutARefusal)
{
    // Symptom: one home of three refuses a seventh of its callers for good, at half of the
    // load that its upstream carries.
    // Sequence: all hosts start again; a new home sees quick statements first and a crowd
    // of returning callers; usual statements then look slow, and the limit falls.
    // Cause: the limit followed a latency that says nothing about the upstream.
    const Counts fixed = Played(LimitPolicy::Fixed).run();
    const Counts learnt = Played(LimitPolicy::Gradient).run();
    BOOST_TEST_MESSAGE("refused of " << fixed.asked << ": " << fixed.refused << " with the upstream's own slots, "
                                     << learnt.refused << " of " << learnt.asked << " with a learnt limit");
    BOOST_TEST(fixed.asked > 500);
    BOOST_TEST(learnt.refused > 0, "the load no longer tells the two apart; look for one that does");
    BOOST_TEST(fixed.refused == 0, fixed.refused << " of " << fixed.asked << " callers were refused at half load");
}

BOOST_AUTO_TEST_SUITE_END()
