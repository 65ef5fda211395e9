// Measures membership at several sizes of the fleet: traffic, CPU time and memory per host,
// how fast changes spread, and the trade-off between detection time and false positives
// (running hosts that are declared dead). Hosts run in one process in simulated time,
// without sockets; every message is encoded and decoded as on the wire.
// Run: build/release/membership-scale

#include "tests/core/gossipfleet.h"
#include "wire/hopcodec.h"

#include <malloc.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

using namespace egrettide;
using egrettide::testing::GossipFleet;
using std::chrono::seconds;

namespace
{

constexpr int zones = 8;
// IPv4 and TCP headers with timestamps, for the segment and for a separate acknowledgement.
// An upper bound, since a reply often carries the acknowledgement.
constexpr double packetOverheadBytes = 2 * 52;

double processCpuSeconds()
{
    std::timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// Counts sent traffic; received traffic is equal on average.
struct TrafficMeter {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::array<std::uint64_t, 7> bytesByKind{};

    void count(const GossipSend &send)
    {
        const std::string frame = hop::encodeFrame(hop::Gossip{send.message}, TimePoint{});
        const auto decoded = hop::decodeFrame(std::string_view(frame).substr(hop::frameHeaderBytes), TimePoint{});
        if (!decoded) {
            std::fprintf(stderr, "cannot decode an encoded gossip frame\n");
        }
        ++messages;
        bytes += frame.size();
        bytesByKind.at(static_cast<std::size_t>(send.message.kind)) += frame.size();
    }
};

struct HostRate {
    double messages = 0;
    double frameBytes = 0;
    double wireBytes = 0;
    double cpuMicroseconds = 0;
};

// Traffic in both directions and CPU time, per host and second of simulated time.
HostRate measureRate(GossipFleet &fleet, int hosts, seconds duration)
{
    TrafficMeter meter;
    fleet.onSend = [&meter](const std::string &, const GossipSend &send) { meter.count(send); };
    const double cpuBefore = processCpuSeconds();
    fleet.runFor(duration);
    const double cpuSeconds = processCpuSeconds() - cpuBefore;
    fleet.onSend = nullptr;
    const double hostSeconds = static_cast<double>(hosts) * static_cast<double>(duration.count());
    HostRate rate;
    rate.messages = 2 * static_cast<double>(meter.messages) / hostSeconds;
    rate.frameBytes = 2 * static_cast<double>(meter.bytes) / hostSeconds;
    rate.wireBytes = rate.frameBytes + rate.messages * packetOverheadBytes;
    rate.cpuMicroseconds = cpuSeconds * 1e6 / hostSeconds;
    return rate;
}

std::string millisecondsText(const std::optional<milliseconds> &time)
{
    return time ? std::to_string(time->count()) : "never";
}

// Each host without this version of the catalog pulls it once from the host that it knows to
// have the highest version. Called every 20 ms. Returns true if all hosts had it already.
bool pullCatalog(GossipFleet &fleet, const std::vector<std::string> &names, std::uint64_t version)
{
    bool allCurrent = true;
    for (const std::string &name : names) {
        Membership &host = fleet.host(name);
        if (host.self().catalogVersion.intent == version) {
            continue;
        }
        allCurrent = false;
        const auto holder = host.holderOfHighestCatalog();
        if (holder && fleet.host(*holder).self().catalogVersion.intent == version) {
            fleet.apply(name, [version](Membership &self, TimePoint) {
                self.setCatalogVersion({version, 0});
                return std::vector<GossipSend>{};
            });
        }
    }
    return allCurrent;
}

void reportSize(int hosts)
{
    const auto heapBefore = mallinfo2().uordblks;
    GossipFleet fleet(42);
    fleet.startMany(hosts, zones);
    const auto convergedAfter = fleet.runUntil(seconds{120}, [&] { return fleet.agreeOnAll(); });
    fleet.runFor(seconds{120});
    const double heapKibibytes = static_cast<double>(mallinfo2().uordblks - heapBefore) / 1024 / hosts;
    const HostRate idleRate = measureRate(fleet, hosts, seconds{30});

    const auto names = fleet.names();
    fleet.host("h3").setCatalogVersion({1, 0});
    const auto catalogSpreadAfter = fleet.runUntil(seconds{60}, [&] { return pullCatalog(fleet, names, 1); });
    fleet.runFor(seconds{100});
    // 530 configuration changes per day are one every 163 s.
    fleet.host("h3").setCatalogVersion({2, 0});
    fleet.runUntil(seconds{60}, [&] { return pullCatalog(fleet, names, 2); });
    const HostRate changeRate = measureRate(fleet, hosts, seconds{163});

    fleet.apply("h5", [](Membership &host, TimePoint now) { return host.leave(now); });
    const auto leavingSeenAfter =
        fleet.runUntil(seconds{60}, [&] { return fleet.allSee("h5", [](const HostRecord &record) { return record.leaving; }); });
    fleet.runFor(seconds{20});
    fleet.crash("h6");
    const auto crashSeenAfter = fleet.runUntil(seconds{60}, [&] {
        return fleet.allSee("h6", [](const HostRecord &record) { return record.health == HostHealth::Dead; });
    });
    std::printf("%5d %8s %8.1f %9.0f %9.0f %9.0f %8.0f %8.0f %9s %9s %9s\n", hosts, millisecondsText(convergedAfter).c_str(),
                idleRate.messages, idleRate.frameBytes, idleRate.wireBytes, changeRate.wireBytes, idleRate.cpuMicroseconds,
                heapKibibytes, millisecondsText(catalogSpreadAfter).c_str(), millisecondsText(leavingSeenAfter).c_str(),
                millisecondsText(crashSeenAfter).c_str());
}

// Prints frame bytes per host and second in both directions, by kind of message.
void printBytesByKind(const TrafficMeter &meter, int hosts, double duration)
{
    const std::array<const char *, 7> names{"ping", "ack", "ping request", "indirect ack", "sync", "sync reply", "records"};
    for (std::size_t kind = 0; kind < names.size(); ++kind) {
        std::printf("       %-12s %8.0f\n", names[kind], 2 * static_cast<double>(meter.bytesByKind[kind]) / hosts / duration);
    }
}

// A host joins a converged fleet: prints when it trusts its view and when all hosts agree on it.
void reportJoin(int hosts)
{
    GossipFleet fleet(44);
    fleet.startMany(hosts, zones);
    fleet.runUntil(seconds{120}, [&] { return fleet.agreeOnAll(); });
    fleet.runFor(seconds{30});
    fleet.start("newcomer", "zone-0", hosts, 1, {HostSeed{"h1", "zone-1", GossipFleet::addressOf(1)}});
    const auto trustedAfter = fleet.runUntil(seconds{60}, [&] { return fleet.host("newcomer").view()->trusted; });
    const std::size_t liveHosts = fleet.host("newcomer").liveCount();
    const auto agreedAfter = fleet.runUntil(seconds{60}, [&] { return fleet.agreeOnAll(); });
    const auto totalAfter = agreedAfter ? std::optional(*agreedAfter + trustedAfter.value_or(milliseconds{0})) : std::nullopt;
    std::printf("%5d: a joining host trusts its view after %s ms, with %zu live hosts; all hosts agree after %s ms\n", hosts,
                millisecondsText(trustedAfter).c_str(), liveHosts, millisecondsText(totalAfter).c_str());
}

void reportPartition(int hosts)
{
    GossipFleet fleet(43);
    fleet.startMany(hosts, zones);
    fleet.runUntil(seconds{120}, [&] { return fleet.agreeOnAll(); });
    fleet.runFor(seconds{30});
    std::set<std::string> isolatedZones;
    for (int zone = 0; zone < zones / 2; ++zone) {
        isolatedZones.insert(GossipFleet::zoneOf(zone, zones));
    }
    fleet.cut(isolatedZones);
    TrafficMeter meter;
    fleet.onSend = [&meter](const std::string &, const GossipSend &send) { meter.count(send); };
    fleet.runFor(seconds{60});
    const double partitionBytesPerSecond = 2 * static_cast<double>(meter.bytes) / hosts / 60
        + 2 * static_cast<double>(meter.messages) / hosts / 60 * packetOverheadBytes;
    std::printf("%5d hosts, half of the zones cut off: frame bytes/s per host during the partition, then while it heals:\n",
                hosts);
    printBytesByKind(meter, hosts, 60);
    fleet.cut({});
    meter = TrafficMeter{};
    const auto healedAfter = fleet.runUntil(seconds{120}, [&] { return fleet.agreeOnAll(); });
    const double healingSeconds = healedAfter ? static_cast<double>(healedAfter->count()) / 1000 : 120;
    const double healingBytesPerSecond =
        (2 * static_cast<double>(meter.bytes) + 2 * static_cast<double>(meter.messages) * packetOverheadBytes) / hosts
        / healingSeconds;
    printBytesByKind(meter, hosts, healingSeconds);
    std::printf("%5d: half of the zones cut off: %.0f bytes/s per host; healed after %s ms at %.0f bytes/s per host\n", hosts,
                partitionBytesPerSecond, millisecondsText(healedAfter).c_str(), healingBytesPerSecond);
}

// Running hosts that host h0 sees declared dead, per host and hour, with a fraction `loss` of the
// messages lost and a random host paused for `stall` every 5 s.
double falsePositivesPerHostHour(const MembershipOptions &options, double loss, milliseconds stall)
{
    constexpr int hosts = 9;
    constexpr seconds duration{1200};
    GossipFleet fleet(7, options);
    fleet.startMany(hosts, 4);
    fleet.runUntil(seconds{60}, [&] { return fleet.agreeOnAll(); });
    fleet.loss = loss;
    std::set<std::pair<std::string, std::uint64_t>> declaredDead;
    std::mt19937_64 random(8);
    std::string stalled;
    TimePoint nextStall = fleet.now() + seconds{5};
    TimePoint stallEnd;
    fleet.runUntil(duration, [&] {
        if (stall.count() > 0 && stalled.empty() && fleet.now() >= nextStall) {
            stalled = GossipFleet::nameOf(static_cast<int>(random() % hosts));
            fleet.pause(stalled);
            stallEnd = fleet.now() + stall;
            nextStall = fleet.now() + seconds{5};
        } else if (!stalled.empty() && fleet.now() >= stallEnd) {
            fleet.resume(stalled);
            stalled.clear();
        }
        for (const HostRecord &record : fleet.host("h0").view()->hosts) {
            if (record.health == HostHealth::Dead) {
                declaredDead.emplace(record.name, record.incarnation);
            }
        }
        return false;
    });
    return static_cast<double>(declaredDead.size()) / hosts * 3600 / static_cast<double>(duration.count());
}

// Mean and maximum time until all other hosts consider a paused host dead; a trial without
// detection counts as 30 s.
milliseconds meanDetectionTime(const MembershipOptions &options, milliseconds &longest)
{
    constexpr int trials = 40;
    milliseconds sum{0};
    longest = milliseconds{0};
    for (std::uint64_t trial = 0; trial < trials; ++trial) {
        GossipFleet fleet(trial, options);
        fleet.startMany(9, 4);
        fleet.runUntil(seconds{60}, [&] { return fleet.agreeOnAll(); });
        fleet.runFor(seconds{2} + milliseconds{trial * 13});
        fleet.pause("h4");
        const auto detectedAfter = fleet.runUntil(seconds{30}, [&] {
            const auto names = fleet.names();
            return std::all_of(names.begin(), names.end(), [&](const std::string &name) {
                return name == "h4" || fleet.host(name).view()->host("h4")->health == HostHealth::Dead;
            });
        });
        sum += detectedAfter.value_or(seconds{30});
        longest = std::max(longest, detectedAfter.value_or(seconds{30}));
    }
    return sum / trials;
}

void reportDetection()
{
    std::printf("\nDetection time and false deaths, 9 hosts in 4 zones, 20 simulated minutes each\n");
    std::printf("%10s %8s %8s | false deaths per host and hour: %8s %8s %8s | one stall every 5 s of: %8s %8s\n", "ticks/bit",
                "mean ms", "max ms", "loss 1%", "loss 5%", "loss 20%", "300 ms", "600 ms");
    for (const double ticksPerBit : {0.25, 0.5, 0.75, 1.0}) {
        MembershipOptions options;
        options.suspicionTicksPerBit = ticksPerBit;
        milliseconds longest{0};
        const milliseconds mean = meanDetectionTime(options, longest);
        std::printf(
            "%10.2f %8ld %8ld | %40.2f %8.2f %8.2f | %32.2f %8.2f\n", ticksPerBit, static_cast<long>(mean.count()),
            static_cast<long>(longest.count()), falsePositivesPerHostHour(options, 0.01, milliseconds{0}),
            falsePositivesPerHostHour(options, 0.05, milliseconds{0}), falsePositivesPerHostHour(options, 0.2, milliseconds{0}),
            falsePositivesPerHostHour(options, 0, milliseconds{300}), falsePositivesPerHostHour(options, 0, milliseconds{600}));
        std::fflush(stdout);
    }
}

void reportSizes()
{
    std::printf("Per host, both directions together; times in ms of simulated time; %d zones\n", zones);
    std::printf("%5s %8s %8s %9s %9s %9s %8s %8s %9s %9s %9s\n", "hosts", "settled", "msg/s", "frame B/s", "wire B/s", "+config",
                "cpu us/s", "KB heap", "config ms", "leave ms", "crash ms");
    for (const int hosts : {9, 32, 128, 255, 510}) {
        reportSize(hosts);
        std::fflush(stdout);
    }
}

} // namespace

// The argument selects one report: "sizes", "join", "partition" or "detection". Without an
// argument, all run.
int main(int argc, char **argv)
{
    const std::string report = argc > 1 ? argv[1] : "";
    if (report.empty() || report == "sizes") {
        reportSizes();
    }
    if (report.empty() || report == "join") {
        reportJoin(9);
        reportJoin(128);
        reportJoin(510);
    }
    if (report.empty() || report == "partition") {
        reportPartition(128);
        reportPartition(510);
    }
    if (report.empty() || report == "detection") {
        reportDetection();
    }
    return 0;
}
