// What membership costs one host at several sizes of the fleet, how fast news
// spreads, and what detection time costs in false deaths. Without sockets, on a
// simulated clock; every message is encoded and decoded as on the wire.
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
// IPv4 and TCP headers with timestamps, for the segment and for its bare
// acknowledgement: an upper bound, since answers often carry the acknowledgement.
constexpr double packetBytes = 2 * 52;

double processSeconds()
{
    std::timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// Counts what leaves; what comes in is the same on average.
struct Meter {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::array<std::uint64_t, 7> bytesByKind{};

    void count(const GossipSend &send)
    {
        const std::string frame = hop::encodeFrame(hop::Gossip{send.message}, TimePoint{});
        const auto decoded = hop::decodeFrame(std::string_view(frame).substr(hop::frameHeaderBytes), TimePoint{});
        if (!decoded) {
            std::fprintf(stderr, "a frame did not decode\n");
        }
        ++messages;
        bytes += frame.size();
        bytesByKind.at(static_cast<std::size_t>(send.message.kind)) += frame.size();
    }
};

struct Rate {
    double messages = 0;
    double payload = 0;
    double onTheWire = 0;
    double microseconds = 0;
};

// Both directions together, per host and second.
Rate measure(GossipFleet &fleet, int hosts, seconds duration)
{
    Meter meter;
    fleet.onSend = [&meter](const std::string &, const GossipSend &send) { meter.count(send); };
    const double before = processSeconds();
    fleet.runFor(duration);
    const double used = processSeconds() - before;
    fleet.onSend = nullptr;
    const double hostSeconds = static_cast<double>(hosts) * static_cast<double>(duration.count());
    Rate rate;
    rate.messages = 2 * static_cast<double>(meter.messages) / hostSeconds;
    rate.payload = 2 * static_cast<double>(meter.bytes) / hostSeconds;
    rate.onTheWire = rate.payload + rate.messages * packetBytes;
    rate.microseconds = used * 1e6 / hostSeconds;
    return rate;
}

std::string textOf(const std::optional<milliseconds> &time)
{
    return time ? std::to_string(time->count()) : "never";
}

// Hosts pull the content from whoever has it, one pull per step of 20 ms.
bool pullOnce(GossipFleet &fleet, const std::vector<std::string> &names, std::uint64_t version)
{
    bool all = true;
    for (const std::string &name : names) {
        Membership &host = fleet.host(name);
        if (host.self().catalogVersion.intent == version) {
            continue;
        }
        all = false;
        const auto holder = host.holderOfHighestCatalog();
        if (holder && fleet.host(*holder).self().catalogVersion.intent == version) {
            fleet.apply(name, [version](Membership &self, TimePoint) {
                self.setCatalogVersion({version, 0});
                return std::vector<GossipSend>{};
            });
        }
    }
    return all;
}

void reportSize(int hosts)
{
    const auto heapBefore = mallinfo2().uordblks;
    GossipFleet fleet(42);
    fleet.startMany(hosts, zones);
    const auto settled = fleet.runUntil(seconds{120}, [&] { return fleet.agreeOnAll(); });
    fleet.runFor(seconds{120});
    const double kilobytes = static_cast<double>(mallinfo2().uordblks - heapBefore) / 1024 / hosts;
    const Rate idle = measure(fleet, hosts, seconds{30});

    const auto names = fleet.names();
    fleet.host("h3").setCatalogVersion({1, 0});
    const auto inForce = fleet.runUntil(seconds{60}, [&] { return pullOnce(fleet, names, 1); });
    fleet.runFor(seconds{100});
    // One change as often as 530 a day make it: every 163 s.
    fleet.host("h3").setCatalogVersion({2, 0});
    fleet.runUntil(seconds{60}, [&] { return pullOnce(fleet, names, 2); });
    const Rate changing = measure(fleet, hosts, seconds{163});

    fleet.apply("h5", [](Membership &host, TimePoint now) { return host.leave(now); });
    const auto leaving =
        fleet.runUntil(seconds{60}, [&] { return fleet.allSee("h5", [](const HostRecord &record) { return record.leaving; }); });
    fleet.runFor(seconds{20});
    fleet.crash("h6");
    const auto crashed = fleet.runUntil(seconds{60}, [&] {
        return fleet.allSee("h6", [](const HostRecord &record) { return record.health == HostHealth::Dead; });
    });
    std::printf("%5d %8s %8.1f %9.0f %9.0f %9.0f %8.0f %8.0f %9s %9s %9s\n", hosts, textOf(settled).c_str(), idle.messages,
                idle.payload, idle.onTheWire, changing.onTheWire, idle.microseconds, kilobytes, textOf(inForce).c_str(),
                textOf(leaving).c_str(), textOf(crashed).c_str());
}

// Frame bytes per host and second, both directions, by kind of message.
void printKinds(const Meter &meter, int hosts, double duration)
{
    const std::array<const char *, 7> names{"ping", "ack", "ping request", "indirect ack", "sync", "sync reply", "records"};
    for (std::size_t kind = 0; kind < names.size(); ++kind) {
        std::printf("       %-12s %8.0f\n", names[kind], 2 * static_cast<double>(meter.bytesByKind[kind]) / hosts / duration);
    }
}

// One host joins a settled fleet: when it can act, and when all know it.
void reportJoin(int hosts)
{
    GossipFleet fleet(44);
    fleet.startMany(hosts, zones);
    fleet.runUntil(seconds{120}, [&] { return fleet.agreeOnAll(); });
    fleet.runFor(seconds{30});
    fleet.start("newcomer", "zone-0", hosts, 1, {HostSeed{"h1", "zone-1", GossipFleet::addressOf(1)}});
    const auto acts = fleet.runUntil(seconds{60}, [&] { return fleet.host("newcomer").view()->trusted; });
    const std::size_t knows = fleet.host("newcomer").liveCount();
    const auto known = fleet.runUntil(seconds{60}, [&] { return fleet.agreeOnAll(); });
    const auto total = known ? std::optional(*known + acts.value_or(milliseconds{0})) : std::nullopt;
    std::printf("%5d: a newcomer trusts its view after %s ms, holding %zu hosts; all agree after %s ms\n", hosts,
                textOf(acts).c_str(), knows, textOf(total).c_str());
}

void reportPartition(int hosts)
{
    GossipFleet fleet(43);
    fleet.startMany(hosts, zones);
    fleet.runUntil(seconds{120}, [&] { return fleet.agreeOnAll(); });
    fleet.runFor(seconds{30});
    std::set<std::string> region;
    for (int zone = 0; zone < zones / 2; ++zone) {
        region.insert(GossipFleet::zoneOf(zone, zones));
    }
    fleet.cut(region);
    Meter meter;
    fleet.onSend = [&meter](const std::string &, const GossipSend &send) { meter.count(send); };
    fleet.runFor(seconds{60});
    const double cutBytes =
        2 * static_cast<double>(meter.bytes) / hosts / 60 + 2 * static_cast<double>(meter.messages) / hosts / 60 * packetBytes;
    std::printf("%5d hosts, half of the zones cut off, frame bytes/s a host:\n", hosts);
    printKinds(meter, hosts, 60);
    fleet.cut({});
    meter = Meter{};
    const auto healed = fleet.runUntil(seconds{120}, [&] { return fleet.agreeOnAll(); });
    const double healSeconds = healed ? static_cast<double>(healed->count()) / 1000 : 120;
    const double healBytes =
        (2 * static_cast<double>(meter.bytes) + 2 * static_cast<double>(meter.messages) * packetBytes) / hosts / healSeconds;
    printKinds(meter, hosts, healSeconds);
    std::printf("%5d: half of the zones cut off: %.0f bytes/s a host meanwhile; healed after %s ms at %.0f bytes/s a host\n",
                hosts, cutBytes, textOf(healed).c_str(), healBytes);
}

// Deaths of running hosts, per host and hour, when messages are lost and hosts stall.
double falseDeathsAnHour(const MembershipOptions &options, double loss, milliseconds stall)
{
    constexpr int hosts = 9;
    constexpr seconds duration{1200};
    GossipFleet fleet(7, options);
    fleet.startMany(hosts, 4);
    fleet.runUntil(seconds{60}, [&] { return fleet.agreeOnAll(); });
    fleet.loss = loss;
    std::set<std::pair<std::string, std::uint64_t>> died;
    std::mt19937_64 random(8);
    std::string stalled;
    TimePoint nextStall = fleet.now() + seconds{5};
    TimePoint stallEnds;
    fleet.runUntil(duration, [&] {
        if (stall.count() > 0 && stalled.empty() && fleet.now() >= nextStall) {
            stalled = GossipFleet::nameOf(static_cast<int>(random() % hosts));
            fleet.pause(stalled);
            stallEnds = fleet.now() + stall;
            nextStall = fleet.now() + seconds{5};
        } else if (!stalled.empty() && fleet.now() >= stallEnds) {
            fleet.resume(stalled);
            stalled.clear();
        }
        for (const HostRecord &record : fleet.host("h0").view()->hosts) {
            if (record.health == HostHealth::Dead) {
                died.emplace(record.name, record.incarnation);
            }
        }
        return false;
    });
    return static_cast<double>(died.size()) / hosts * 3600 / static_cast<double>(duration.count());
}

milliseconds meanDetection(const MembershipOptions &options, milliseconds &worst)
{
    constexpr int trials = 40;
    milliseconds sum{0};
    worst = milliseconds{0};
    for (std::uint64_t trial = 0; trial < trials; ++trial) {
        GossipFleet fleet(trial, options);
        fleet.startMany(9, 4);
        fleet.runUntil(seconds{60}, [&] { return fleet.agreeOnAll(); });
        fleet.runFor(seconds{2} + milliseconds{trial * 13});
        fleet.pause("h4");
        const auto found = fleet.runUntil(seconds{30}, [&] {
            const auto names = fleet.names();
            return std::all_of(names.begin(), names.end(), [&](const std::string &name) {
                return name == "h4" || fleet.host(name).view()->host("h4")->health == HostHealth::Dead;
            });
        });
        sum += found.value_or(seconds{30});
        worst = std::max(worst, found.value_or(seconds{30}));
    }
    return sum / trials;
}

void reportDetection()
{
    std::printf("\nDetection against false deaths, 9 hosts in 4 zones, 20 simulated minutes each\n");
    std::printf("%10s %8s %8s | false deaths per host and hour: %8s %8s %8s | one stall every 5 s of: %8s %8s\n", "ticks/bit",
                "mean ms", "max ms", "loss 1%", "loss 5%", "loss 20%", "300 ms", "600 ms");
    for (const double ticksPerBit : {0.25, 0.5, 0.75, 1.0}) {
        MembershipOptions options;
        options.suspicionTicksPerBit = ticksPerBit;
        milliseconds worst{0};
        const milliseconds mean = meanDetection(options, worst);
        std::printf("%10.2f %8ld %8ld | %40.2f %8.2f %8.2f | %32.2f %8.2f\n", ticksPerBit, static_cast<long>(mean.count()),
                    static_cast<long>(worst.count()), falseDeathsAnHour(options, 0.01, milliseconds{0}),
                    falseDeathsAnHour(options, 0.05, milliseconds{0}), falseDeathsAnHour(options, 0.2, milliseconds{0}),
                    falseDeathsAnHour(options, 0, milliseconds{300}), falseDeathsAnHour(options, 0, milliseconds{600}));
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

// Takes "sizes", "join", "partition" or "detection"; all of them without an argument.
int main(int argc, char **argv)
{
    const std::string wanted = argc > 1 ? argv[1] : "";
    if (wanted.empty() || wanted == "sizes") {
        reportSizes();
    }
    if (wanted.empty() || wanted == "join") {
        reportJoin(9);
        reportJoin(128);
        reportJoin(510);
    }
    if (wanted.empty() || wanted == "partition") {
        reportPartition(128);
        reportPartition(510);
    }
    if (wanted.empty() || wanted == "detection") {
        reportDetection();
    }
    return 0;
}
