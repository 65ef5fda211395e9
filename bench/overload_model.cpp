// Prints how the slot scheduler and the naive first-come queue behave from half to
// five times the capacity, in a retry storm after a pause, and under the policies
// that were weighed. Deterministic: the same seed prints the same figures.

#include "bench/overloadmodel.h"

#include "egrettide/core/metrics.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>

using namespace egrettide;
using namespace egrettide::overload;

namespace
{

double inMilliseconds(Nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

void printHead(const std::string &title)
{
    std::printf("\n%s\n%-30s %8s %7s %6s | %8s %8s %8s %8s | %8s %8s %8s %8s %6s %6s %11s\n", title.c_str(), "policy", "load",
                "goodput", "amplif", "desk p50", "desk p99", "refused", "late", "par p50", "par p99", "refused", "late", "asks",
                "served", "refusal p99");
}

void printRow(const std::string &policy, double load, const ModelResult &result)
{
    const ClassResult &desks = result.classes.at("desks");
    const ClassResult &parents = result.classes.at("parents");
    const double asks = static_cast<double>(parents.asks) / static_cast<double>(std::max<std::uint64_t>(1, parents.requests));
    const double served =
        static_cast<double>(parents.answered) / static_cast<double>(std::max<std::uint64_t>(1, parents.requests));
    std::printf("%-30s %7.2fx %7.3f %6.2f | %8.1f %8.1f %8lu %8lu | %8.1f %8.1f %8lu %8lu %6.2f %6.3f %11.1f\n", policy.c_str(),
                load, result.goodput, result.amplification, inMilliseconds(desks.latency.quantile(0.5)),
                inMilliseconds(desks.latency.quantile(0.99)), desks.refusals, desks.late,
                inMilliseconds(parents.latency.quantile(0.5)), inMilliseconds(parents.latency.quantile(0.99)), parents.refusals,
                parents.late, asks, served, inMilliseconds(parents.refusalDelay.quantile(0.99)));
}

void sweepLoad(int slots, bool patient)
{
    printHead("Load, " + std::to_string(slots) + " slots, callers that "
              + (patient ? "come back when told" : "come back after 100 ms"));
    for (const double load : {0.0, 0.5, 0.8, 1.0, 2.0, 3.0, 5.0}) {
        ModelOptions model = modelOptions(slots, std::max(load, 0.001));
        model.honoursRetryAfter = patient;
        printRow("scheduler", load, runScheduled(model, schedulerOptions(slots)));
        printRow("first come, first served", load, runFifo(model, slots));
    }
}

void stormAfterPause(int slots)
{
    printHead("Pause of 2.5 s at 0.7x parents, then a storm of callers that come back after 100 ms, " + std::to_string(slots)
              + " slots");
    ModelOptions model = modelOptions(slots, 0.7);
    model.honoursRetryAfter = false;
    model.asks = 10;
    model.pausedFrom = milliseconds{10000};
    model.pausedUntil = milliseconds{12500};
    printRow("scheduler", 0.7, runScheduled(model, schedulerOptions(slots)));
    printRow("first come, first served", 0.7, runFifo(model, slots));
}

void compareDisciplines(int slots)
{
    printHead("Queue disciplines, " + std::to_string(slots) + " slots");
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
    printHead("Reservations, " + std::to_string(slots) + " slots, parents' statements take "
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
    printHead("Limits, " + std::to_string(slots) + " slots of which " + std::to_string(degradedServers)
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
        stormAfterPause(slots);
        compareDisciplines(slots);
        compareReservations(slots, milliseconds{7});
        compareReservations(slots, milliseconds{150});
        compareLimits(slots, slots, 0);
        compareLimits(slots, slots / 2, 0);
        compareLimits(slots, slots / 2, 0.3);
    }
}

// Processor time of the decisions on this machine, for docs/CAPACITY.md.
template <typename Step> double nanosecondsEach(int steps, Step step)
{
    const auto begin = std::chrono::steady_clock::now();
    for (int index = 0; index < steps; ++index) {
        step(index);
    }
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    return std::chrono::duration<double, std::nano>(elapsed).count() / steps;
}

double schedulerCost(int queued, int tenants)
{
    SlotSchedulerOptions options = schedulerOptions(5);
    options.discipline = QueueDiscipline::EarliestDeadline;
    SlotScheduler scheduler(options);
    TimePoint now{std::chrono::hours(1)};
    std::vector<std::uint64_t> inUse;
    std::uint64_t nextId = 0;
    const auto ask = [&] {
        const std::string tenant = "tenant" + std::to_string(nextId % static_cast<std::uint64_t>(tenants));
        const StatementTicket ticket{++nextId, "parents", tenant, now + std::chrono::hours(1), StatementKind::Read, false};
        if (scheduler.enqueue(ticket, now).state == AdmissionState::Admitted) {
            inUse.push_back(ticket.id);
        }
    };
    for (int index = 0; index < queued + options.slots; ++index) {
        ask();
    }
    std::size_t oldest = 0;
    return nanosecondsEach(200000, [&](int) {
        now += std::chrono::microseconds(1360);
        ask();
        for (const std::uint64_t id : scheduler.finished(inUse[oldest++], now, std::chrono::microseconds(6800)).admitted) {
            inUse.push_back(id);
        }
        (void)scheduler.nextEventAt();
    });
}

void printCosts()
{
    Histogram histogram;
    std::printf("histogram record: %.0f ns, %zu bytes\n",
                nanosecondsEach(2000000, [&](int index) { histogram.record(std::chrono::microseconds(index % 100000)); }),
                sizeof(Histogram));
    MetricsRegistry registry;
    std::printf("counter by labels: %.0f ns\n", nanosecondsEach(500000, [&](int) {
                    registry.counter("requests_total", {{"class", "desks"}, {"tenant", "one"}}).add();
                }));
    for (int tenant = 0; tenant < 64; ++tenant) {
        registry.histogram("latency_seconds", {{"class", "desks"}, {"tenant", std::to_string(tenant)}}).record(Nanoseconds(5));
    }
    std::size_t bytes = 0;
    const double render = nanosecondsEach(100, [&](int) { bytes = registry.render().size(); });
    std::printf("render 64 histograms: %.2f ms, %zu bytes\n", render / 1e6, bytes);
    for (const int queued : {0, 100, 4000}) {
        std::printf("one statement through the scheduler, %d queued: %.0f ns\n", queued, schedulerCost(queued, 100));
    }
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description description("Overload model of one upstream");
    description.add_options()("help", "print this")("cost", "print the processor time of decisions instead");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
        std::cout << description << '\n';
        return 0;
    }
    if (values.contains("cost")) {
        printCosts();
    } else {
        runAll();
    }
    return 0;
}
