// Tests that the version of a host's configuration never decreases.

#define BOOST_TEST_MODULE ConfigurationState
#include <boost/test/unit_test.hpp>

#include "egrettide/core/configurationstate.h"

#include <rapidcheck.h>

#include <array>
#include <random>
#include <string>

using namespace egrettide;

namespace
{

constexpr std::uint64_t Versions = 12;
constexpr std::size_t Hosts = 4;

Configuration configuration(std::uint64_t version)
{
    Configuration made;
    made.version = version;
    made.applyId = "id" + std::to_string(version);
    return made;
}

// Counts of the events that a schedule has to contain to be meaningful.
struct EventCounts {
    int staleOffers = 0;
    int replacements = 0;
    int accepted = 0;
};

// Simulates hosts that read the store, often late, and pass on what they hold; sometimes a
// host is replaced by a new one. Returns the first violation, or an empty string.
std::string firstReversion(const std::vector<std::uint16_t> &choices, ConfigurationState::Mutation mutation,
                           EventCounts *counts = nullptr)
{
    const auto note = [counts](OfferResult result) {
        if (counts != nullptr) {
            counts->staleOffers += result == OfferResult::Stale ? 1 : 0;
            counts->accepted += result == OfferResult::Accepted ? 1 : 0;
        }
    };
    std::array<std::unique_ptr<ConfigurationState>, Hosts> hosts;
    for (auto &host : hosts) {
        host = std::make_unique<ConfigurationState>(mutation);
    }
    std::uint64_t accepted = 0;
    for (const std::uint16_t choice : choices) {
        ConfigurationState &host = *hosts[(choice / 8) % Hosts];
        const std::uint64_t before = host.version();
        const ConfigurationState &peer = *hosts[(choice / 32) % Hosts];
        switch (choice % 8) {
        case 0:
        case 1:
            accepted = std::min(accepted + 1, Versions);
            break;
        case 2:
        case 3: // A read that returns a state of the store that is some versions old.
            note(host.offer(configuration(accepted - std::min<std::uint64_t>(accepted, (choice / 128) % 4))));
            break;
        case 4:
            hosts[(choice / 8) % Hosts] = std::make_unique<ConfigurationState>(mutation);
            if (counts != nullptr) {
                ++counts->replacements;
            }
            continue;
        default:
            if (peer.current()) {
                note(host.offer(*peer.current()));
            }
            break;
        }
        if (host.version() < before) {
            return "a host reverted from version " + std::to_string(before) + " to " + std::to_string(host.version());
        }
        if (host.current() && host.current()->applyId != "id" + std::to_string(host.version())) {
            return "version " + std::to_string(host.version()) + " holds the file of " + host.current()->applyId;
        }
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationStateOfAHost)

BOOST_AUTO_TEST_CASE(NeverReverts)
{
    EventCounts counts;
    const bool held = rc::check("versions at a host never decrease, whatever the store and new hosts offer", [&counts] {
        const auto choices = *rc::gen::container<std::vector<std::uint16_t>>(120, rc::gen::arbitrary<std::uint16_t>());
        RC_ASSERT(firstReversion(choices, {}, &counts) == "");
    });
    BOOST_TEST_MESSAGE(counts.accepted << " accepted, " << counts.staleOffers << " stale, " << counts.replacements
                                       << " replaced");
    BOOST_TEST(counts.staleOffers > 100, "too few offers were stale for a meaningful test");
    BOOST_TEST(counts.replacements > 100, "too few hosts were replaced for a meaningful test");
    BOOST_TEST(counts.accepted > 100);
    BOOST_TEST(held, "a host reverted to an earlier file; see the shrunk case above");
}

BOOST_AUTO_TEST_CASE(DetectsAHostThatAcceptsLowerVersions)
{
    // A new host reads an old value and passes it to its peers. A host that accepts the last
    // version received instead of the newest one reverts.
    std::mt19937_64 random(7);
    int detected = 0;
    for (int run = 0; run < 100; ++run) {
        std::vector<std::uint16_t> choices(120);
        for (std::uint16_t &choice : choices) {
            choice = static_cast<std::uint16_t>(random());
        }
        detected += firstReversion(choices, {true}).empty() ? 0 : 1;
    }
    BOOST_TEST(detected > 0, "the simulation did not detect reverting hosts");
}

BOOST_AUTO_TEST_CASE(OfferReturnsItsResult)
{
    ConfigurationState state;
    BOOST_TEST((state.current() == nullptr));
    BOOST_TEST((state.offer(configuration(0)) == OfferResult::Stale));
    BOOST_TEST((state.offer(configuration(5)) == OfferResult::Accepted));
    BOOST_TEST((state.offer(configuration(5)) == OfferResult::Same));
    BOOST_TEST((state.offer(configuration(4)) == OfferResult::Stale));
    BOOST_TEST(state.version() == 5u);
}

BOOST_AUTO_TEST_CASE(IsBehindOnceANewerVersionIsKnown)
{
    ConfigurationState state;
    state.offer(configuration(5));
    BOOST_TEST(!state.isBehind());
    state.noteKnownVersion(8);
    state.noteKnownVersion(6);
    BOOST_TEST(state.isBehind());
    BOOST_TEST(state.newestKnownVersion() == 8u);
    state.offer(configuration(9));
    BOOST_TEST(!state.isBehind());
}

BOOST_AUTO_TEST_CASE(ReadersKeepTheSnapshotTheyTook)
{
    ConfigurationState state;
    state.offer(configuration(5));
    const auto taken = state.current();
    state.offer(configuration(6));
    BOOST_TEST(taken->version == 5u);
    BOOST_TEST(state.current()->version == 6u);
}

BOOST_AUTO_TEST_SUITE_END()
