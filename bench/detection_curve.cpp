// Weighs the settings of failure detection against each other: how often a primary
// that is well would be replaced, and how long the loss of one goes unnoticed; then
// the whole failover gap with the default settings, from the last confirmed write
// before the loss to the first one after it. Model time and a fixed seed: the same
// figures wherever the standard library is the same. Build the preset "release" and run detection-curve.

#include "egrettide/core/failuredetector.h"
#include "testing/support/groupworld.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <queue>
#include <random>
#include <vector>

namespace
{

using namespace egrettide;

constexpr std::size_t observers = 3;
constexpr std::size_t majority = 2;
constexpr milliseconds probeInterval{50};
constexpr milliseconds step{5};
constexpr std::uint64_t seed = 20261202;

// What a day on noisy links looks like. Spikes hit one link, stalls hit the upstream
// and with it every link at once; both are lognormal with a long tail.
struct Noise {
    double roundTrip = 2; // ms
    double jitter = 0.3; // ms, mean of an exponential
    double loss = 0.001;
    double spikeEvery = 120'000; // ms, mean
    double spikeLasts = 1000; // ms, mean
    double spikeMedian = 30; // ms
    double spikeSigma = 1.0;
    double stallEvery = 600'000; // ms, mean
    double stallMedian = 40; // ms
    double stallSigma = 0.8;
};

// One observer's link and detector.
class Observer
{
public:
    Observer(const FailureDetectorOptions &options, const Noise &noise, std::uint64_t number)
        : m_detector(options), m_noise(noise), m_random(seed + number)
    {
        m_nextSpike = milliseconds(static_cast<std::int64_t>(draw(noise.spikeEvery)));
    }

    // Sends a probe at `now` to an upstream that answers no earlier than `answers`.
    void probe(milliseconds now, milliseconds answers)
    {
        moveSpike(now);
        m_detector.onSent(at(now));
        const double spike = now < m_spikeUntil ? m_spike : 0;
        const double trip = m_noise.roundTrip + draw(m_noise.jitter) + spike;
        const bool lost = std::uniform_real_distribution(0.0, 1.0)(m_random) < m_noise.loss;
        if (!lost) {
            m_answers.push({std::max(now, answers) + milliseconds(std::llround(trip)), now});
        }
    }

    bool suspects(milliseconds now)
    {
        while (!m_answers.empty() && m_answers.top().first <= now) {
            m_detector.onAnswer(at(m_answers.top().second), at(m_answers.top().first));
            m_answers.pop();
        }
        return m_detector.suspects(at(now));
    }

    // The upstream is gone: answers after `now` never come.
    void loseAnswers(milliseconds now)
    {
        Answers kept;
        for (; !m_answers.empty(); m_answers.pop()) {
            if (m_answers.top().second < now) {
                kept.push(m_answers.top());
            }
        }
        m_answers = std::move(kept);
    }

private:
    using Answer = std::pair<milliseconds, milliseconds>; // arrival, sending
    using Answers = std::priority_queue<Answer, std::vector<Answer>, std::greater<>>;

    static TimePoint at(milliseconds time)
    {
        return TimePoint(time);
    }

    double draw(double mean)
    {
        return std::exponential_distribution(1.0 / mean)(m_random);
    }

    void moveSpike(milliseconds now)
    {
        if (now < m_nextSpike) {
            return;
        }
        m_spike = std::lognormal_distribution(std::log(m_noise.spikeMedian), m_noise.spikeSigma)(m_random);
        m_spikeUntil = now + milliseconds(std::llround(draw(m_noise.spikeLasts)));
        m_nextSpike = m_spikeUntil + milliseconds(std::llround(draw(m_noise.spikeEvery)));
    }

    FailureDetector m_detector;
    Noise m_noise;
    std::mt19937_64 m_random;
    milliseconds m_nextSpike{0};
    milliseconds m_spikeUntil{0};
    double m_spike = 0; // ms
    Answers m_answers;
};

std::vector<Observer> makeObservers(const FailureDetectorOptions &options, const Noise &noise)
{
    std::vector<Observer> made;
    for (std::size_t i = 0; i < observers; ++i) {
        made.emplace_back(options, noise, i);
    }
    return made;
}

struct FalseRate {
    double single = 0; // suspicions of one observer, a day
    double agreed = 0; // moments at which a majority suspects, a day
};

FalseRate falseSuspicions(const FailureDetectorOptions &options, const Noise &noise, milliseconds span)
{
    std::vector<Observer> all = makeObservers(options, noise);
    std::mt19937_64 random(seed + 100);
    milliseconds nextStall{0};
    milliseconds stalledUntil{0};
    std::array<bool, observers> suspected{};
    bool agreed = false;
    std::size_t singles = 0;
    std::size_t agreements = 0;
    for (milliseconds now{0}; now < span; now += step) {
        if (now >= nextStall) {
            const double length = std::lognormal_distribution(std::log(noise.stallMedian), noise.stallSigma)(random);
            stalledUntil = now == milliseconds(0) ? now : now + milliseconds(std::llround(length));
            nextStall = now + milliseconds(std::llround(std::exponential_distribution(1.0 / noise.stallEvery)(random)));
        }
        std::size_t count = 0;
        for (std::size_t i = 0; i < observers; ++i) {
            // Observers probe out of step with each other.
            if ((now + step * static_cast<int>(3 * i)) % probeInterval == milliseconds(0)) {
                all[i].probe(now, stalledUntil);
            }
            const bool suspects = all[i].suspects(now);
            singles += suspects && !suspected[i] ? 1 : 0;
            suspected[i] = suspects;
            count += suspects ? 1 : 0;
        }
        agreements += count >= majority && !agreed ? 1 : 0;
        agreed = count >= majority;
    }
    const double days = std::chrono::duration<double>(span).count() / 86'400;
    return {static_cast<double>(singles) / static_cast<double>(observers) / days, static_cast<double>(agreements) / days};
}

// From the loss of the upstream to the moment at which a majority suspects it.
std::vector<double> detectionTimes(const FailureDetectorOptions &options, const Noise &noise, int losses)
{
    std::vector<double> times;
    std::mt19937_64 random(seed + 200);
    for (int i = 0; i < losses; ++i) {
        std::vector<Observer> all = makeObservers(options, noise);
        const milliseconds lostAt(5000 + random() % 5000);
        bool lost = false;
        for (milliseconds now{0};; now += step) {
            if (!lost && now >= lostAt) {
                lost = true;
                for (Observer &each : all) {
                    each.loseAnswers(lostAt);
                }
            }
            std::size_t count = 0;
            for (std::size_t k = 0; k < observers; ++k) {
                if ((now + step * static_cast<int>(3 * k)) % probeInterval == milliseconds(0)) {
                    all[k].probe(now, lost ? milliseconds(1'000'000) : now);
                }
                count += all[k].suspects(now) ? 1 : 0;
            }
            if (lost && count >= majority) {
                times.push_back(static_cast<double>((now - lostAt).count()));
                break;
            }
        }
    }
    std::ranges::sort(times);
    return times;
}

double quantile(const std::vector<double> &sorted, double part)
{
    return sorted[static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1))];
}

void printCurve(const char *name, const Noise &noise, const std::vector<double> &deviations, const std::vector<int> &floors)
{
    std::cout << "\n"
              << name << "\n\n| floor ms | deviations | one observer, a day | majority, a day | noticed p50 ms | p99 ms |\n"
              << "|---|---|---|---|---|---|\n";
    for (const double each : deviations) {
        for (const int floor : floors) {
            FailureDetectorOptions options;
            options.floor = milliseconds(floor);
            options.deviations = each;
            const FalseRate rate = falseSuspicions(options, noise, std::chrono::hours(240));
            const std::vector<double> times = detectionTimes(options, noise, 100);
            std::cout << "| " << floor << " | " << each << " | " << std::setprecision(4) << rate.single << " | " << rate.agreed
                      << " | " << quantile(times, 0.5) << " | " << quantile(times, 0.99) << " |" << std::endl;
        }
    }
}

enum class Loss { Refused, Silent, SilentWithoutStore, Planned };

testing::WorldOptions calmWorld(std::uint64_t run)
{
    testing::WorldOptions options;
    options.seed = run;
    options.faults = 0;
    options.lossOneIn = 0;
    options.duplicateOneIn = 0;
    options.delayOneIn = 0;
    options.fencePauseOneIn = 0;
    options.promotionFaultOneIn = 0;
    options.writesAtHomeOnly = true;
    options.writeSpacing = std::chrono::microseconds(1000); // as often as the model allows: every 5 ms
    options.faultSpan = std::chrono::seconds(4);
    return options;
}

void printGap(const char *name, Loss loss)
{
    std::vector<double> gaps;
    std::size_t violations = 0;
    std::size_t unknown = 0;
    for (std::uint64_t run = 1; run <= 200; ++run) {
        testing::WorldOptions options = calmWorld(run);
        options.storeOut = loss == Loss::SilentWithoutStore;
        options.planned = loss == Loss::Planned;
        options.faults = loss == Loss::Planned ? 1 : 0;
        testing::World world(options);
        if (loss != Loss::Planned) {
            const std::chrono::microseconds when(1'000'000 + 1009 * run);
            world.planPrimaryDeath(when, std::chrono::seconds(10), loss == Loss::Refused);
        }
        violations += world.run().empty() ? 0 : 1;
        unknown += world.unknownOutcomes();
        gaps.push_back(static_cast<double>(world.longestWriteGap().count()) / 1000);
    }
    std::ranges::sort(gaps);
    std::cout << "| " << name << " | " << quantile(gaps, 0.5) << " | " << quantile(gaps, 0.99) << " | " << gaps.back() << " | "
              << unknown << " | " << violations << " |\n";
}

void printCurves()
{
    printCurve("links within a region", Noise{}, {6}, {50, 100, 150, 200, 300, 400, 500, 700, 1000});
    Noise noisy;
    noisy.roundTrip = 60;
    noisy.jitter = 60;
    noisy.spikeMedian = 150;
    printCurve("noisy links; deviations 0 is a fixed timeout", noisy, {0, 6}, {100, 200, 300, 500, 700});
}

// What one round and one commit cost this processor; wall clock, not model time.
void printCost()
{
    const TimePoint start{std::chrono::seconds(100)};
    constexpr int rounds = 100'000;
    constexpr int commits = 8; // held and confirmed in each round
    GroupMonitor monitor("db", {{"a", "zone-a", false}, {"b", "zone-b", false}, {"c", "zone-c", false}});
    CommitGate gate({"a", "b", "c"}, Durability::Majority);
    std::chrono::nanoseconds inMonitor{0};
    std::chrono::nanoseconds inGate{0};
    std::size_t confirmed = 0;
    Position position = 1;
    for (int i = 0; i < rounds; ++i) {
        const TimePoint now = start + milliseconds(2) * i;
        std::vector<MemberStatus> answers;
        position += commits;
        for (const char *const name : {"a", "b", "c"}) {
            MemberStatus status;
            status.upstream = name;
            status.role = answers.empty() ? UpstreamRole::Primary : UpstreamRole::Replica;
            status.promisedTerm = status.followingTerm = 1;
            status.received = status.replayed = {1, position};
            answers.push_back(status);
        }
        const auto began = Clock::now();
        const ProbeRound round = monitor.beginRound(now);
        for (const MemberStatus &status : answers) {
            monitor.onStatus(round.id, status, now + milliseconds(1));
        }
        const auto snapshot = monitor.snapshot();
        const auto monitored = Clock::now();
        for (int k = 0; k < commits; ++k) {
            gate.add(static_cast<CommitId>(i) * commits + static_cast<CommitId>(k), 1, answers[0], now + std::chrono::seconds(1),
                     now);
        }
        for (const MemberStatus &status : answers) {
            confirmed += gate.onMemberStatus(status, now).size();
        }
        inMonitor += monitored - began;
        inGate += Clock::now() - monitored;
    }
    std::cout << "\none round of three members with its snapshot: " << inMonitor.count() / rounds
              << " ns; one commit held and confirmed, " << commits << " to a round: " << inGate.count() / rounds / commits
              << " ns (" << confirmed << " confirmed); watermarks kept: " << monitor.snapshot()->watermarks.size() << "\n";
}

} // namespace

// With the argument "gap" only the second part is run.
int main(int argc, char **argv)
{
    if (argc < 2 || std::string(argv[1]) != "gap") {
        printCurves();
    }
    std::cout << "\n| loss of the primary, 200 runs each | gap p50 ms | p99 ms | longest ms | unknown outcomes | violations |\n"
              << "|---|---|---|---|---|---|\n";
    printGap("process dies, host refuses", Loss::Refused);
    printGap("host silent", Loss::Silent);
    printGap("host silent, store out", Loss::SilentWithoutStore);
    printGap("planned change", Loss::Planned);
    printCost();
    return 0;
}
