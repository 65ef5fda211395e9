// A connection to the primary of a stand-in, for tests of what it sends.

#pragma once

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "platform/lineupstream.h"
#include "testing/platform/linegroup.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace egrettide::testing
{

using platform::LineUpstream;
using standin::StatementFate;
using namespace std::chrono_literals;

// One connection to the primary of a group; opened again once it is not usable any more.
struct LinkFixture {
    LinkFixture()
    {
        open();
    }

    void reopen()
    {
        link->abandon();
        group.dropConnections("m1");
        open();
    }

    ~LinkFixture()
    {
        link->abandon();
    }

    void open()
    {
        ConnectionSettings settings;
        settings.address = group.address("m1");
        settings.database = "service";
        settings.upstream = "m1";
        link = LineUpstream::create(context, settings);
        bool opened = false;
        link->open(Clock::now() + 30s, [&](const tl::expected<void, Error> &result) { opened = result.has_value(); });
        context.restart();
        while (!opened && context.run_one() > 0) { }
        BOOST_TEST_REQUIRE(opened);
    }

    tl::expected<BatchAnswer, BatchFailure> outcomeOf(BatchOrder order)
    {
        order.deadline = Clock::now() + 30s;
        std::optional<tl::expected<BatchAnswer, BatchFailure>> taken;
        link->run(std::move(order), [&](const tl::expected<BatchAnswer, BatchFailure> &answer) { taken = answer; });
        BOOST_TEST_REQUIRE(!taken.has_value(), "the handler ran within the call");
        context.restart();
        while (!taken && context.run_one() > 0) { }
        BOOST_TEST_REQUIRE(taken.has_value());
        return *taken;
    }

    BatchAnswer run(BatchOrder order)
    {
        const auto outcome = outcomeOf(std::move(order));
        BOOST_TEST_REQUIRE(outcome.has_value());
        return *outcome;
    }

    standin::LineGroup group{{}};
    boost::asio::io_context context;
    std::shared_ptr<UpstreamLink> link;
};

inline BatchOrder readWith(const std::string &mode)
{
    BatchOrder order;
    order.batch = "a READ item";
    order.sessionValues = {{"mode", mode}};
    return order;
}

// Draws a read or the execution of a prepared one, with some values.
inline rc::Gen<BatchOrder> anyRead(const std::string &id)
{
    return rc::gen::exec([id] {
        BatchOrder order;
        for (const char *name : {"mode", "zone"}) {
            if (*rc::gen::arbitrary<bool>()) {
                order.sessionValues.push_back({name, *rc::gen::element<std::string>("1", "2", "3")});
            }
        }
        order.requiresLead = *rc::gen::arbitrary<bool>();
        order.batch = id + " READ item";
        if (*rc::gen::arbitrary<bool>()) {
            const std::string name = *rc::gen::element<std::string>("p1", "p2");
            order.prepared.push_back({name, "READ " + name});
            order.batch = id + " EXECUTE " + name + " item";
        }
        return order;
    });
}

// Draws which statements of a sequence fail or lose their connection, and checks that none ran with values
// or prepared statements other than its session's, or although it was refused. With `leadOnly` all require
// the lead.
inline void checkSessionValues(LinkFixture &fixture, bool leadOnly)
{
    BOOST_TEST(rc::check("statements run with their session's values", [&] {
        fixture.reopen();
        const std::size_t before = fixture.group.ran().size();
        const auto fate = rc::gen::weightedElement<StatementFate>(
            {{6, StatementFate::Run}, {3, StatementFate::Fail}, {1, StatementFate::Close}});
        fixture.group.planStatements("m1", *rc::gen::container<std::vector<StatementFate>>(40, fate));
        std::map<std::string, BatchOrder> orders;
        std::set<std::string> refused;
        for (int number = 0; number < 12; ++number) {
            if (!fixture.link->usable() || fixture.link->transactionState() != 'I') {
                fixture.reopen();
            }
            const std::string id = "s" + std::to_string(number);
            BatchOrder &order = orders[id] = *anyRead(id);
            order.requiresLead = order.requiresLead || leadOnly;
            const auto outcome = fixture.outcomeOf(order);
            if (outcome ? outcome->refusal.has_value() : !outcome.error().sent) {
                refused.insert(id);
            }
        }
        const auto ran = fixture.group.ran();
        for (std::size_t i = before; i < ran.size(); ++i) {
            const BatchOrder &order = orders.at(ran[i].id);
            RC_ASSERT(!refused.contains(ran[i].id));
            RC_ASSERT(ran[i].values.size() == order.sessionValues.size());
            for (const SessionValue &value : order.sessionValues) {
                RC_ASSERT(ran[i].values.at(value.name) == value.value);
            }
            RC_ASSERT(ran[i].shape == (order.prepared.empty() ? std::string() : order.prepared.front().parseMessage));
        }
    }));
    fixture.group.planStatements("m1", {});
}

} // namespace egrettide::testing
