// Measures the trade-off of the failure detection settings: how often a healthy primary is
// suspected, and how long it takes to detect the loss of one. Then measures the write gap of a
// failover with the default settings, from the last confirmed write before the loss to the first
// one after it. Both run in model time with a fixed seed, so that the figures are the same wherever
// the standard library is the same. Finally measures the processing time of a probe round and of a
// commit, in wall-clock time. Build the preset "release" and run detection-curve.

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

constexpr std::size_t observerCount = 3;
constexpr std::size_t majority = 2;
constexpr milliseconds probeInterval{50};
constexpr milliseconds timeStep{5};
constexpr std::uint64_t seed = 20261202;

// A model of latency noise. A spike adds latency to one link; a stall delays the answers of the
// upstream and so affects all links at once. The sizes of both are lognormal, with a long tail.
struct NoiseModel {
    double roundTrip = 2; // ms
    double jitter = 0.3; // ms, mean of an exponential
    double lossProbability = 0.001; // of each probe
    double spikeInterval = 120'000; // ms, mean
    double spikeDuration = 1000; // ms, mean
    double spikeMedian = 30; // ms, added to the round trip
    double spikeSigma = 1.0;
    double stallInterval = 600'000; // ms, mean
    double stallMedian = 40; // ms, duration
    double stallSigma = 0.8;
};

// One observer with its link to the upstream and its failure detector.
class Observer
{
public:
    Observer(const FailureDetectorOptions &options, const NoiseModel &noise, std::uint64_t number)
        : m_detector(options), m_noise(noise), m_random(seed + number)
    {
        m_nextSpike = milliseconds(static_cast<std::int64_t>(drawExponential(noise.spikeInterval)));
    }

    // Sends a probe at `now` to an upstream that does not answer before `earliestAnswer`.
    void probe(milliseconds now, milliseconds earliestAnswer)
    {
        updateSpike(now);
        m_detector.onSent(at(now));
        const double spikeDelay = now < m_spikeUntil ? m_spikeDelay : 0;
        const double roundTripTime = m_noise.roundTrip + drawExponential(m_noise.jitter) + spikeDelay;
        const bool lost = std::uniform_real_distribution(0.0, 1.0)(m_random) < m_noise.lossProbability;
        if (!lost) {
            m_pendingAnswers.push({std::max(now, earliestAnswer) + milliseconds(std::llround(roundTripTime)), now});
        }
    }

    bool suspects(milliseconds now)
    {
        while (!m_pendingAnswers.empty() && m_pendingAnswers.top().first <= now) {
            m_detector.onAnswer(at(m_pendingAnswers.top().second), at(m_pendingAnswers.top().first));
            m_pendingAnswers.pop();
        }
        return m_detector.suspects(at(now));
    }

    // The upstream was lost at `lostAt`: drops the answers to probes sent at that time or later.
    void dropAnswersFrom(milliseconds lostAt)
    {
        PendingAnswers kept;
        for (; !m_pendingAnswers.empty(); m_pendingAnswers.pop()) {
            if (m_pendingAnswers.top().second < lostAt) {
                kept.push(m_pendingAnswers.top());
            }
        }
        m_pendingAnswers = std::move(kept);
    }

private:
    using Answer = std::pair<milliseconds, milliseconds>; // arrival time, send time of the probe
    using PendingAnswers = std::priority_queue<Answer, std::vector<Answer>, std::greater<>>; // earliest arrival first

    static TimePoint at(milliseconds time)
    {
        return TimePoint(time);
    }

    double drawExponential(double mean)
    {
        return std::exponential_distribution(1.0 / mean)(m_random);
    }

    void updateSpike(milliseconds now)
    {
        if (now < m_nextSpike) {
            return;
        }
        m_spikeDelay = std::lognormal_distribution(std::log(m_noise.spikeMedian), m_noise.spikeSigma)(m_random);
        m_spikeUntil = now + milliseconds(std::llround(drawExponential(m_noise.spikeDuration)));
        m_nextSpike = m_spikeUntil + milliseconds(std::llround(drawExponential(m_noise.spikeInterval)));
    }

    FailureDetector m_detector;
    NoiseModel m_noise;
    std::mt19937_64 m_random;
    milliseconds m_nextSpike{0};
    milliseconds m_spikeUntil{0};
    double m_spikeDelay = 0; // ms
    PendingAnswers m_pendingAnswers;
};

std::vector<Observer> makeObservers(const FailureDetectorOptions &options, const NoiseModel &noise)
{
    std::vector<Observer> observers;
    for (std::size_t i = 0; i < observerCount; ++i) {
        observers.emplace_back(options, noise, i);
    }
    return observers;
}

struct FalseSuspicionRates {
    double byOneObserver = 0; // suspicions per observer and day
    double byMajority = 0; // suspicions shared by a majority, per day
};

// Simulates a healthy upstream for `span`, which makes every suspicion a false one.
FalseSuspicionRates falseSuspicionRates(const FailureDetectorOptions &options, const NoiseModel &noise, milliseconds span)
{
    std::vector<Observer> observers = makeObservers(options, noise);
    std::mt19937_64 random(seed + 100);
    milliseconds nextStall{0};
    milliseconds stalledUntil{0};
    std::array<bool, observerCount> suspected{};
    bool majoritySuspected = false;
    std::size_t observerSuspicions = 0;
    std::size_t majoritySuspicions = 0;
    for (milliseconds now{0}; now < span; now += timeStep) {
        if (now >= nextStall) {
            const double stallDuration = std::lognormal_distribution(std::log(noise.stallMedian), noise.stallSigma)(random);
            stalledUntil = now == milliseconds(0) ? now : now + milliseconds(std::llround(stallDuration));
            nextStall = now + milliseconds(std::llround(std::exponential_distribution(1.0 / noise.stallInterval)(random)));
        }
        std::size_t suspecting = 0;
        for (std::size_t i = 0; i < observerCount; ++i) {
            // The observers probe at different times.
            if ((now + timeStep * static_cast<int>(3 * i)) % probeInterval == milliseconds(0)) {
                observers[i].probe(now, stalledUntil);
            }
            const bool suspects = observers[i].suspects(now);
            observerSuspicions += suspects && !suspected[i] ? 1 : 0;
            suspected[i] = suspects;
            suspecting += suspects ? 1 : 0;
        }
        majoritySuspicions += suspecting >= majority && !majoritySuspected ? 1 : 0;
        majoritySuspected = suspecting >= majority;
    }
    const double days = std::chrono::duration<double>(span).count() / 86'400;
    return {static_cast<double>(observerSuspicions) / static_cast<double>(observerCount) / days,
            static_cast<double>(majoritySuspicions) / days};
}

// The times from the loss of the upstream until a majority suspects it, in milliseconds and in
// ascending order, for `losses` simulated losses.
std::vector<double> detectionTimes(const FailureDetectorOptions &options, const NoiseModel &noise, int losses)
{
    std::vector<double> times;
    std::mt19937_64 random(seed + 200);
    for (int i = 0; i < losses; ++i) {
        std::vector<Observer> observers = makeObservers(options, noise);
        const milliseconds lostAt(5000 + random() % 5000);
        bool lost = false;
        for (milliseconds now{0};; now += timeStep) {
            if (!lost && now >= lostAt) {
                lost = true;
                for (Observer &observer : observers) {
                    observer.dropAnswersFrom(lostAt);
                }
            }
            std::size_t suspecting = 0;
            for (std::size_t k = 0; k < observerCount; ++k) {
                if ((now + timeStep * static_cast<int>(3 * k)) % probeInterval == milliseconds(0)) {
                    observers[k].probe(now, lost ? milliseconds(1'000'000) : now);
                }
                suspecting += observers[k].suspects(now) ? 1 : 0;
            }
            if (lost && suspecting >= majority) {
                times.push_back(static_cast<double>((now - lostAt).count()));
                break;
            }
        }
    }
    std::ranges::sort(times);
    return times;
}

double quantile(const std::vector<double> &sorted, double fraction)
{
    return sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

void printCurve(const char *name, const NoiseModel &noise, const std::vector<double> &deviations, const std::vector<int> &floors)
{
    std::cout << "\n"
              << name << "\n\n| floor ms | deviations | one observer, a day | majority, a day | noticed p50 ms | p99 ms |\n"
              << "|---|---|---|---|---|---|\n";
    for (const double factor : deviations) {
        for (const int floor : floors) {
            FailureDetectorOptions options;
            options.floor = milliseconds(floor);
            options.deviations = factor;
            const FalseSuspicionRates rate = falseSuspicionRates(options, noise, std::chrono::hours(240));
            const std::vector<double> times = detectionTimes(options, noise, 100);
            std::cout << "| " << floor << " | " << factor << " | " << std::setprecision(4) << rate.byOneObserver << " | "
                      << rate.byMajority << " | " << quantile(times, 0.5) << " | " << quantile(times, 0.99) << " |" << std::endl;
        }
    }
}

// How the group loses its primary.
enum class PrimaryLoss { Refused, Silent, SilentWithoutStore, Planned };

// Options without faults and without loss, duplication or delay of messages.
testing::WorldOptions faultFreeWorld(std::uint64_t run)
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
    options.writeSpacing = std::chrono::microseconds(1000); // the model limits writes to one every 5 ms
    options.faultSpan = std::chrono::seconds(4);
    return options;
}

void printWriteGap(const char *name, PrimaryLoss loss)
{
    std::vector<double> gaps;
    std::size_t violations = 0;
    std::size_t unknownOutcomes = 0;
    for (std::uint64_t run = 1; run <= 200; ++run) {
        testing::WorldOptions options = faultFreeWorld(run);
        options.storeOut = loss == PrimaryLoss::SilentWithoutStore;
        options.planned = loss == PrimaryLoss::Planned;
        options.faults = loss == PrimaryLoss::Planned ? 1 : 0;
        testing::World world(options);
        if (loss != PrimaryLoss::Planned) {
            const std::chrono::microseconds crashAt(1'000'000 + 1009 * run);
            world.planPrimaryCrash(crashAt, std::chrono::seconds(10), loss == PrimaryLoss::Refused);
        }
        violations += world.run().empty() ? 0 : 1;
        unknownOutcomes += world.unknownOutcomes();
        gaps.push_back(static_cast<double>(world.longestWriteGap().count()) / 1000);
    }
    std::ranges::sort(gaps);
    std::cout << "| " << name << " | " << quantile(gaps, 0.5) << " | " << quantile(gaps, 0.99) << " | " << gaps.back() << " | "
              << unknownOutcomes << " | " << violations << " |\n";
}

void printCurves()
{
    printCurve("links within a region", NoiseModel{}, {6}, {50, 100, 150, 200, 300, 400, 500, 700, 1000});
    NoiseModel noisy;
    noisy.roundTrip = 60;
    noisy.jitter = 60;
    noisy.spikeMedian = 150;
    printCurve("noisy links; deviations 0 is a fixed timeout", noisy, {0, 6}, {100, 200, 300, 500, 700});
}

// Measures the processing time of one probe round and one commit, in wall-clock time.
void printProcessingCost()
{
    const TimePoint start{std::chrono::seconds(100)};
    constexpr int rounds = 100'000;
    constexpr int commitsPerRound = 8; // added to the gate and confirmed in each round
    GroupMonitor monitor("db", {{"a", "zone-a", false}, {"b", "zone-b", false}, {"c", "zone-c", false}});
    CommitGate gate({"a", "b", "c"}, Durability::Majority);
    std::chrono::nanoseconds monitorTime{0};
    std::chrono::nanoseconds gateTime{0};
    std::size_t confirmed = 0;
    Position position = 1;
    for (int i = 0; i < rounds; ++i) {
        const TimePoint now = start + milliseconds(2) * i;
        std::vector<MemberStatus> statuses;
        position += commitsPerRound;
        for (const char *const name : {"a", "b", "c"}) {
            MemberStatus status;
            status.upstream = name;
            status.role = statuses.empty() ? UpstreamRole::Primary : UpstreamRole::Replica;
            status.promisedTerm = status.followingTerm = 1;
            status.received = status.replayed = {1, position};
            statuses.push_back(status);
        }
        const auto roundStart = Clock::now();
        const ProbeRound round = monitor.beginRound(now);
        for (const MemberStatus &status : statuses) {
            monitor.onStatus(round.id, status, now + milliseconds(1));
        }
        const auto snapshot = monitor.snapshot();
        const auto monitorDone = Clock::now();
        for (int k = 0; k < commitsPerRound; ++k) {
            gate.add(static_cast<CommitId>(i) * commitsPerRound + static_cast<CommitId>(k), 1, statuses[0],
                     now + std::chrono::seconds(1), now);
        }
        for (const MemberStatus &status : statuses) {
            confirmed += gate.onMemberStatus(status, now).size();
        }
        monitorTime += monitorDone - roundStart;
        gateTime += Clock::now() - monitorDone;
    }
    std::cout << "\none round of three members with its snapshot: " << monitorTime.count() / rounds
              << " ns; one commit held and confirmed, " << commitsPerRound
              << " per round: " << gateTime.count() / rounds / commitsPerRound << " ns (" << confirmed
              << " confirmed); watermarks kept: " << monitor.snapshot()->watermarks.size() << "\n";
}

} // namespace

// With the argument "gap", only the write gaps and the processing times are measured.
int main(int argc, char **argv)
{
    if (argc < 2 || std::string(argv[1]) != "gap") {
        printCurves();
    }
    std::cout << "\n| loss of the primary, 200 runs each | gap p50 ms | p99 ms | longest ms | unknown outcomes | violations |\n"
              << "|---|---|---|---|---|---|\n";
    printWriteGap("process dies, host refuses", PrimaryLoss::Refused);
    printWriteGap("host silent", PrimaryLoss::Silent);
    printWriteGap("host silent, store out", PrimaryLoss::SilentWithoutStore);
    printWriteGap("planned change", PrimaryLoss::Planned);
    printProcessingCost();
    return 0;
}
