// Compares the slot scheduler with a FIFO queue at up to five times the capacity and in a
// retry storm after a pause, and compares the scheduler's queue disciplines, reservation
// policies and limit policies. The simulation is deterministic: the same seed prints the
// same figures. With --cost, prints measured times of the scheduler and the metrics instead.

#include "bench/overloadmodel.h"

#include "egrettide/core/metrics.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>

using namespace egrettide;
using namespace egrettide::overload;

namespace
{

double toMilliseconds(Nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

void printHeader(const std::string &title)
{
    std::printf("\n%s\n%-30s %8s %7s %6s | %8s %8s %8s %8s | %8s %8s %8s %8s %6s %6s %11s\n", title.c_str(), "policy", "load",
                "goodput", "amplif", "desk p50", "desk p99", "refused", "late", "par p50", "par p99", "refused", "late", "asks",
                "served", "refusal p99");
}

void printRow(const std::string &policy, double load, const ModelResult &result)
{
    const ClassResult &desks = result.classes.at("desks");
    const ClassResult &parents = result.classes.at("parents");
    const double attemptsPerRequest =
        static_cast<double>(parents.attempts) / static_cast<double>(std::max<std::uint64_t>(1, parents.requests));
    const double answeredFraction =
        static_cast<double>(parents.answered) / static_cast<double>(std::max<std::uint64_t>(1, parents.requests));
    std::printf("%-30s %7.2fx %7.3f %6.2f | %8.1f %8.1f %8lu %8lu | %8.1f %8.1f %8lu %8lu %6.2f %6.3f %11.1f\n", policy.c_str(),
                load, result.goodput, result.amplification, toMilliseconds(desks.latency.quantile(0.5)),
                toMilliseconds(desks.latency.quantile(0.99)), desks.refusals, desks.timeouts,
                toMilliseconds(parents.latency.quantile(0.5)), toMilliseconds(parents.latency.quantile(0.99)), parents.refusals,
                parents.timeouts, attemptsPerRequest, answeredFraction, toMilliseconds(parents.refusalDelay.quantile(0.99)));
}

void sweepLoad(int slots, bool honoursRetryAfter)
{
    printHeader("Load sweep, " + std::to_string(slots) + " slots, callers retry "
                + (honoursRetryAfter ? "after the returned delay" : "after 100 ms"));
    for (const double load : {0.0, 0.5, 0.8, 1.0, 2.0, 3.0, 5.0}) {
        ModelOptions model = modelOptions(slots, std::max(load, 0.001));
        model.honoursRetryAfter = honoursRetryAfter;
        printRow("scheduler", load, runScheduled(model, schedulerOptions(slots)));
        printRow("FIFO queue", load, runFifo(model, slots));
    }
}

void retryStormAfterPause(int slots)
{
    printHeader("Retry storm after a pause of 2.5 s, parents at 0.7x capacity, callers retry after 100 ms, "
                + std::to_string(slots) + " slots");
    ModelOptions model = modelOptions(slots, 0.7);
    model.honoursRetryAfter = false;
    model.maxAttempts = 10;
    model.pausedFrom = milliseconds{10000};
    model.pausedUntil = milliseconds{12500};
    printRow("scheduler", 0.7, runScheduled(model, schedulerOptions(slots)));
    printRow("FIFO queue", 0.7, runFifo(model, slots));
}

void compareDisciplines(int slots)
{
    printHeader("Queue disciplines, " + std::to_string(slots) + " slots");
    const std::vector<std::pair<std::string, QueueDiscipline>> disciplines{
        {"earliest deadline", QueueDiscipline::EarliestDeadline}, {"bounded standing queue", QueueDiscipline::BoundedStanding}};
    for (const double load : {0.95, 1.5, 3.0, 5.0}) {
        for (const auto &[name, discipline] : disciplines) {
            SlotSchedulerOptions options = schedulerOptions(slots);
            options.discipline = discipline;
            printRow(name, load, runScheduled(modelOptions(slots, load), options));
        }
    }
}

void compareReservations(int slots, milliseconds parentsService)
{
    printHeader("Reservation policies, " + std::to_string(slots) + " slots, mean service time of parents "
                + std::to_string(parentsService.count()) + " ms");
    const std::vector<std::pair<std::string, ReservationPolicy>> policies{{"time share", ReservationPolicy::TimeShare},
                                                                          {"hold back", ReservationPolicy::HoldBack},
                                                                          {"lend", ReservationPolicy::Lend}};
    for (const double load : {0.5, 1.0, 3.0}) {
        for (const auto &[name, policy] : policies) {
            SlotSchedulerOptions options = schedulerOptions(slots);
            options.reservationPolicy = policy;
            ModelOptions model = modelOptions(slots, load);
            model.classes[1].meanService = parentsService;
            printRow(name, load, runScheduled(model, options));
        }
    }
}

void compareLimits(int slots, int degradedServers, double contention)
{
    printHeader("Limit policies, " + std::to_string(slots) + " slots of which " + std::to_string(degradedServers)
                + " are left after 10 s, contention " + std::to_string(contention));
    const std::vector<std::pair<std::string, LimitPolicy>> policies{
        {"fixed", LimitPolicy::Fixed}, {"aimd", LimitPolicy::Aimd}, {"gradient", LimitPolicy::Gradient}};
    for (const double load : {0.3, 0.8, 3.0}) {
        for (const auto &[name, policy] : policies) {
            SlotSchedulerOptions options = schedulerOptions(slots);
            options.limitPolicy = policy;
            ModelOptions model = modelOptions(slots, load);
            model.degradedFrom = milliseconds{10000};
            model.degradedServers = degradedServers;
            model.contention = contention;
            printRow(name, load, runScheduled(model, options));
        }
    }
}

void runAll()
{
    for (const int slots : {5, 2}) {
        sweepLoad(slots, true);
        sweepLoad(slots, false);
        retryStormAfterPause(slots);
        compareDisciplines(slots);
        compareReservations(slots, milliseconds{7});
        compareReservations(slots, milliseconds{150});
        compareLimits(slots, slots, 0);
        compareLimits(slots, slots / 2, 0);
        compareLimits(slots, slots / 2, 0.3);
    }
}

// Mean elapsed time of a step on this machine; docs/CAPACITY.md uses the figures.
template <typename Step> double meanNanoseconds(int steps, Step step)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int index = 0; index < steps; ++index) {
        step(index);
    }
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    return std::chrono::duration<double, std::nano>(elapsed).count() / steps;
}

double schedulingNanoseconds(int queued, int tenants)
{
    SlotSchedulerOptions options = schedulerOptions(5);
    options.discipline = QueueDiscipline::EarliestDeadline;
    SlotScheduler scheduler(options);
    TimePoint now{std::chrono::hours(1)};
    std::vector<std::uint64_t> admitted;
    std::uint64_t nextId = 0;
    const auto enqueueNext = [&] {
        const std::string tenant = "tenant" + std::to_string(nextId % static_cast<std::uint64_t>(tenants));
        const StatementTicket ticket{++nextId, "parents", tenant, now + std::chrono::hours(1), StatementKind::Read, false};
        if (scheduler.enqueue(ticket, now).state == AdmissionState::Admitted) {
            admitted.push_back(ticket.id);
        }
    };
    for (int index = 0; index < queued + options.slots; ++index) {
        enqueueNext();
    }
    std::size_t nextFinished = 0;
    return meanNanoseconds(200000, [&](int) {
        // The service time divided by the slots: the load is equal to the capacity.
        now += std::chrono::microseconds(1360);
        enqueueNext();
        for (const std::uint64_t id :
             scheduler.finished(admitted[nextFinished++], now, std::chrono::microseconds(6800)).admitted) {
            admitted.push_back(id);
        }
        (void)scheduler.nextEventAt();
    });
}

void printTimings()
{
    Histogram histogram;
    std::printf("histogram record: %.0f ns, %zu bytes\n",
                meanNanoseconds(2000000, [&](int index) { histogram.record(std::chrono::microseconds(index % 100000)); }),
                sizeof(Histogram));
    MetricsRegistry registry;
    std::printf("counter by labels: %.0f ns\n", meanNanoseconds(500000, [&](int) {
                    registry.counter("requests_total", {{"class", "desks"}, {"tenant", "one"}}).add();
                }));
    for (int tenant = 0; tenant < 64; ++tenant) {
        registry.histogram("latency_seconds", {{"class", "desks"}, {"tenant", std::to_string(tenant)}}).record(Nanoseconds(5));
    }
    std::size_t bytes = 0;
    const double renderNanoseconds = meanNanoseconds(100, [&](int) { bytes = registry.render().size(); });
    std::printf("render 64 histograms: %.2f ms, %zu bytes\n", renderNanoseconds / 1e6, bytes);
    for (const int queued : {0, 100, 4000}) {
        std::printf("scheduling of one statement, %d queued: %.0f ns\n", queued, schedulingNanoseconds(queued, 100));
    }
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description description("Simulation of one upstream under overload");
    description.add_options()("help", "print this help")(
        "cost", "print the measured time per scheduling decision and metric update instead");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
        std::cout << description << '\n';
        return 0;
    }
    if (values.contains("cost")) {
        printTimings();
    } else {
        runAll();
    }
    return 0;
}
