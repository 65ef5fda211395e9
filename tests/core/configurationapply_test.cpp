// Tests of ConfigurationApply: several operators apply files concurrently over a simulated
// network that loses, delays and duplicates messages, to a store that is unavailable at
// times. Afterwards each version holds one whole file, no file was overwritten without
// having been read, and every operator got a correct verdict.

#define BOOST_TEST_MODULE ConfigurationApply
#include <boost/test/unit_test.hpp>

#include "egrettide/core/configurationapply.h"
#include "egrettide/core/configurationfile.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <random>
#include <set>

using namespace egrettide;

namespace
{

using Choices = std::vector<std::uint16_t>;

const TimePoint Start = TimePoint{} + std::chrono::hours(1);

// A request in transit to the store, or an answer in transit back.
struct Message {
    std::size_t sender = 0;
    std::uint64_t attempt = 0;
    std::optional<WriteConfiguration> write;
    // For a write: the version that its sender had read.
    std::uint64_t base = 0;
    std::optional<ApplyEvent> answer;
};

// One operator, with the action whose answer it waits for.
struct Operator {
    std::string applyId;
    std::unique_ptr<ConfigurationApply> apply;
    std::uint64_t attempt = 0;
    bool writing = false;
    bool started = false;
    std::uint64_t lastRead = 0;
    std::vector<ApplyFinished> results;
};

// A simulation of a store, a network and several operators. Each choice determines one step.
class Race
{
public:
    Race(std::size_t operators, ConfigurationApply::Mutation mutation, bool faultFreeEnd)
    {
        for (std::size_t index = 0; index < operators; ++index) {
            Operator client;
            client.applyId = "id" + std::to_string(index);
            client.apply = std::make_unique<ConfigurationApply>(
                ConfigurationApply::Settings{client.applyId, "operator" + std::to_string(index), std::nullopt, mutation});
            m_operators.push_back(std::move(client));
        }
        m_faultFreeEnd = faultFreeEnd;
    }

    void run(const Choices &choices)
    {
        for (const std::uint16_t choice : choices) {
            step(choice);
        }
        if (m_faultFreeEnd) {
            runWithoutFaults();
        }
        for (std::size_t index = 0; index < m_operators.size(); ++index) {
            start(index);
            handle(index, ApplyDeadlinePassed{});
        }
        // Copies that arrive after the verdicts must not invalidate them.
        m_storeAvailable = true;
        while (!m_network.empty()) {
            deliver(0);
        }
    }

    std::vector<std::string> violations() const
    {
        std::vector<std::string> found;
        checkHistory(found);
        for (const Operator &client : m_operators) {
            checkVerdict(client, found);
        }
        return found;
    }

    std::size_t count(ApplyVerdict verdict) const
    {
        std::size_t total = 0;
        for (const Operator &client : m_operators) {
            total += !client.results.empty() && client.results.front().verdict == verdict ? 1 : 0;
        }
        return total;
    }

private:
    void step(std::uint16_t choice)
    {
        const std::size_t what = choice % 16;
        const std::size_t which = choice / 16;
        const std::size_t client = which % m_operators.size();
        if (what < 3) {
            start(client);
        } else if (what < 10) {
            deliver(which);
        } else if (what == 10) {
            drop(which);
        } else if (what == 11) {
            duplicate(which);
        } else if (what < 14) {
            timeOut(client);
        } else if (what == 14) {
            m_storeAvailable = !m_storeAvailable;
        } else {
            m_now += milliseconds(which);
        }
    }

    // Runs without faults for a while.
    void runWithoutFaults()
    {
        m_storeAvailable = true;
        for (int round = 0; round < 100; ++round) {
            const std::size_t waiting = m_network.size();
            for (std::size_t index = 0; index < waiting && !m_network.empty(); ++index) {
                deliver(0);
            }
            for (std::size_t index = 0; index < m_operators.size() && m_network.empty(); ++index) {
                timeOut(index);
            }
        }
    }

    void start(std::size_t index)
    {
        Operator &client = m_operators[index];
        if (!client.started) {
            client.started = true;
            perform(index, client.apply->start(m_now));
        }
    }

    void handle(std::size_t index, const ApplyEvent &event)
    {
        Operator &client = m_operators[index];
        const auto *read = std::get_if<ReadAnswered>(&event);
        if (read != nullptr && read->attempt == client.attempt) {
            client.lastRead = read->stored ? read->stored->version : 0;
        }
        if (const auto action = client.apply->handle(event, m_now)) {
            perform(index, *action);
        }
    }

    void perform(std::size_t index, const ApplyAction &action)
    {
        Operator &client = m_operators[index];
        if (const auto *read = std::get_if<ReadConfiguration>(&action)) {
            client.attempt = read->attempt;
            client.writing = false;
            m_network.push_back({index, read->attempt, std::nullopt, 0, std::nullopt});
        } else if (const auto *write = std::get_if<WriteConfiguration>(&action)) {
            client.attempt = write->attempt;
            client.writing = true;
            m_network.push_back({index, write->attempt, *write, client.lastRead, std::nullopt});
        } else {
            client.results.push_back(std::get<ApplyFinished>(action));
        }
    }

    void deliver(std::size_t which)
    {
        if (m_network.empty()) {
            return;
        }
        const auto at = m_network.begin() + static_cast<std::ptrdiff_t>(which % m_network.size());
        const Message message = *at;
        m_network.erase(at);
        if (message.answer) {
            handle(message.sender, *message.answer);
        } else if (m_storeAvailable) {
            m_network.push_back({message.sender, message.attempt, std::nullopt, 0, answerTo(message)});
        }
    }

    void drop(std::size_t which)
    {
        if (!m_network.empty()) {
            m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(which % m_network.size()));
        }
    }

    void duplicate(std::size_t which)
    {
        if (!m_network.empty()) {
            m_network.push_back(m_network[which % m_network.size()]);
        }
    }

    // The operator's call times out; the request or its answer may still be in transit.
    void timeOut(std::size_t index)
    {
        const Operator &client = m_operators[index];
        if (!client.started) {
            return;
        }
        if (client.writing) {
            handle(index, WriteAnswerLost{client.attempt});
        } else {
            handle(index, ReadFailed{client.attempt});
        }
    }

    ApplyEvent answerTo(const Message &message)
    {
        if (!message.write) {
            return ReadAnswered{message.attempt, m_history.empty() ? std::nullopt : std::optional(m_history.back())};
        }
        const std::uint64_t current = m_history.empty() ? 0 : m_history.back().version;
        if (message.write->expectedVersion && *message.write->expectedVersion != current) {
            return WriteConflicted{message.attempt};
        }
        m_history.push_back({current + 3, message.write->head});
        m_bases.push_back(message.base);
        return WriteAccepted{message.attempt, current + 3};
    }

    const StoredHead *accepted(const std::string &applyId) const
    {
        for (const StoredHead &stored : m_history) {
            if (stored.head.applyId == applyId) {
                return &stored;
            }
        }
        return nullptr;
    }

    void checkHistory(std::vector<std::string> &found) const
    {
        std::set<std::string> seen;
        for (std::size_t index = 0; index < m_history.size(); ++index) {
            const ConfigurationHead &head = m_history[index].head;
            if (!seen.insert(head.applyId).second) {
                found.push_back(head.applyId + " was accepted twice");
            }
            const std::uint64_t base = m_bases[index];
            const std::uint64_t replaced = index == 0 ? 0 : m_history[index - 1].version;
            if (base != replaced) {
                found.push_back(head.applyId + " was based on version " + std::to_string(base) + " and overwrote version "
                                + std::to_string(replaced) + " without reading it");
            }
        }
    }

    void checkVerdict(const Operator &client, std::vector<std::string> &found) const
    {
        if (client.results.size() != 1) {
            found.push_back(client.applyId + " finished " + std::to_string(client.results.size()) + " times");
            return;
        }
        const ApplyFinished &result = client.results.front();
        const StoredHead *stored = accepted(client.applyId);
        if (result.verdict == ApplyVerdict::Applied && (stored == nullptr || stored->version != result.version)) {
            found.push_back(client.applyId + " got Applied, but its file was not accepted");
        }
        const bool isNegative = result.verdict != ApplyVerdict::Applied && result.verdict != ApplyVerdict::Unknown;
        if (isNegative && stored != nullptr) {
            found.push_back(client.applyId + " got a negative verdict, but its file was accepted");
        }
        if (result.verdict == ApplyVerdict::LostRace && accepted(result.winner.applyId) == nullptr) {
            found.push_back(client.applyId + " got a winner whose file was not accepted: " + result.winner.applyId);
        }
    }

    std::vector<Operator> m_operators;
    std::vector<Message> m_network;
    // All versions of the store's object, oldest first.
    std::vector<StoredHead> m_history;
    // For each version: the version that its operator had read.
    std::vector<std::uint64_t> m_bases;
    TimePoint m_now = Start;
    bool m_storeAvailable = true;
    bool m_faultFreeEnd = false;
};

Choices randomChoices(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    Choices choices(120);
    for (std::uint16_t &choice : choices) {
        choice = static_cast<std::uint16_t>(random());
    }
    return choices;
}

// The number of random races, out of `races`, that end in a violation.
int violationsUnder(ConfigurationApply::Mutation mutation, int races)
{
    int violated = 0;
    for (int seed = 0; seed < races; ++seed) {
        Race race(2 + static_cast<std::size_t>(seed) % 3, mutation, seed % 2 == 0);
        race.run(randomChoices(static_cast<std::uint64_t>(seed)));
        violated += race.violations().empty() ? 0 : 1;
    }
    return violated;
}

constexpr int Races = 2000;

ConfigurationApply::Settings settings(std::optional<std::uint64_t> ifVersion = std::nullopt)
{
    return {"mine", "ann", ifVersion, {}};
}

template <typename Action> Action expect(const std::optional<ApplyAction> &action)
{
    BOOST_REQUIRE_MESSAGE(action.has_value(), "no action was returned, but one was expected");
    const auto *wanted = std::get_if<Action>(&*action);
    BOOST_REQUIRE_MESSAGE(wanted != nullptr, "action " << action->index() << " was returned instead of the expected one");
    return *wanted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationApplyDecision)

BOOST_AUTO_TEST_CASE(EveryVerdictIsCorrectAndNoFileIsOverwrittenUnread)
{
    const bool held = rc::check("racing operators get correct verdicts", [] {
        const auto operators = *rc::gen::inRange<std::size_t>(2, 6);
        const auto choices = *rc::gen::container<Choices>(150, rc::gen::arbitrary<std::uint16_t>());
        Race race(operators, {}, *rc::gen::arbitrary<bool>());
        race.run(choices);
        for (const std::string &violation : race.violations()) {
            RC_FAIL(violation);
        }
    });
    BOOST_TEST(held, "a race ended in a violation; see the shrunk case above");
}

BOOST_AUTO_TEST_CASE(RacesProduceEveryVerdict)
{
    std::map<ApplyVerdict, std::size_t> verdicts;
    for (int seed = 0; seed < Races; ++seed) {
        Race race(3, {}, seed % 2 == 0);
        race.run(randomChoices(static_cast<std::uint64_t>(seed)));
        for (const ApplyVerdict verdict :
             {ApplyVerdict::Applied, ApplyVerdict::LostRace, ApplyVerdict::Unknown, ApplyVerdict::StoreUnavailable}) {
            verdicts[verdict] += race.count(verdict);
        }
    }
    for (const auto &[verdict, count] : verdicts) {
        BOOST_TEST(count > 100u,
                   "verdict " << static_cast<int>(verdict) << " occurred only " << count
                              << " times in the races; the test above would not cover it");
    }
}

BOOST_AUTO_TEST_CASE(NaiveUnconditionalWritesLoseUpdates)
{
    // Two operators read the same version and both write. Without the expected version in
    // the write, the second one overwrites the accepted file of the first.
    ConfigurationApply::Mutation naive;
    naive.withoutCompareAndSet = true;
    BOOST_TEST(violationsUnder({}, Races) == 0);
    const int lost = violationsUnder(naive, Races);
    BOOST_TEST_MESSAGE("unconditional writes ended in a violation in " << lost << " of " << Races << " races");
    BOOST_TEST(lost > 0, "the simulation did not detect unconditional writes");
}

BOOST_AUTO_TEST_CASE(DetectsMissingLookupOfTheOwnId)
{
    ConfigurationApply::Mutation mutation;
    mutation.withoutOwnIdLookup = true;
    BOOST_TEST(violationsUnder(mutation, Races) > 0,
               "the simulation did not detect a lost answer that was reported as a lost race");
}

BOOST_AUTO_TEST_CASE(DetectsMissingHistory)
{
    ConfigurationApply::Mutation mutation;
    mutation.withoutHistory = true;
    BOOST_TEST(violationsUnder(mutation, Races) > 0, "the simulation did not detect a missing history");
}

BOOST_AUTO_TEST_CASE(DetectsRebaseAfterALostAnswer)
{
    ConfigurationApply::Mutation mutation;
    mutation.rebaseAfterLostAnswer = true;
    BOOST_TEST(violationsUnder(mutation, Races) > 0, "the simulation did not detect a file that was applied twice");
}

BOOST_AUTO_TEST_CASE(FindsItsOwnFileAfterALostAnswerEvenWhenItWasReplacedSince)
{
    // The write is accepted, its answer is lost, and another operator replaces the file before
    // the read. If only the object's own apply id were compared, the verdict would be LostRace.
    ConfigurationApply apply(settings());
    const auto read = expect<ReadConfiguration>(apply.start(Start));
    const auto write = expect<WriteConfiguration>(apply.handle(ReadAnswered{read.attempt, std::nullopt}, Start));
    BOOST_TEST(write.expectedVersion.value() == 0u);
    const auto again = expect<ReadConfiguration>(apply.handle(WriteAnswerLost{write.attempt}, Start));
    const StoredHead replaced{9, {"theirs", "bob", {{"mine", "ann", 7}}}};
    const auto finished = expect<ApplyFinished>(apply.handle(ReadAnswered{again.attempt, replaced}, Start));
    BOOST_TEST((finished.verdict == ApplyVerdict::Applied));
    BOOST_TEST(finished.version == 7u);
    BOOST_TEST(finished.current.applyId == "theirs");
}

BOOST_AUTO_TEST_CASE(LostRaceNamesTheWinnerAndTheRemedy)
{
    ConfigurationApply apply(settings(4));
    const auto read = expect<ReadConfiguration>(apply.start(Start));
    const StoredHead stored{8, {"third", "cat", {{"base", "ann", 4}, {"theirs", "bob", 6}}}};
    const auto finished = expect<ApplyFinished>(apply.handle(ReadAnswered{read.attempt, stored}, Start));
    BOOST_TEST((finished.verdict == ApplyVerdict::LostRace));
    BOOST_TEST(finished.winner.who == "bob");
    BOOST_TEST(finished.winner.version == 6u);
    BOOST_TEST(finished.error.value().message.find("--if-version 8") != std::string::npos, finished.error->message);
}

BOOST_AUTO_TEST_CASE(RefusesAVersionThatTheStoreHasNotReached)
{
    ConfigurationApply apply(settings(4));
    const auto read = expect<ReadConfiguration>(apply.start(Start));
    const auto finished = expect<ApplyFinished>(apply.handle(ReadAnswered{read.attempt, std::nullopt}, Start));
    BOOST_TEST((finished.verdict == ApplyVerdict::Refused));
}

BOOST_AUTO_TEST_CASE(ReportsUnknownWhenTheHistoryIsTooShort)
{
    ConfigurationApply apply(settings());
    const auto read = expect<ReadConfiguration>(apply.start(Start));
    const StoredHead base{4, {"base", "ann", {}}};
    const auto write = expect<WriteConfiguration>(apply.handle(ReadAnswered{read.attempt, base}, Start));
    const auto again = expect<ReadConfiguration>(apply.handle(WriteAnswerLost{write.attempt}, Start));
    StoredHead later{99, {"late", "bob", {}}};
    for (std::uint64_t version = 70; later.head.earlier.size() < RememberedApplies - 1; ++version) {
        later.head.earlier.push_back({"id" + std::to_string(version), "bob", version});
    }
    const auto finished = expect<ApplyFinished>(apply.handle(ReadAnswered{again.attempt, later}, Start));
    BOOST_TEST((finished.verdict == ApplyVerdict::Unknown));
}

BOOST_AUTO_TEST_CASE(HistoryIsBounded)
{
    StoredHead stored{100, {"last", "bob", {}}};
    for (std::uint64_t version = 1; version < RememberedApplies; ++version) {
        stored.head.earlier.push_back({"id" + std::to_string(version), "bob", version});
    }
    ConfigurationApply apply(settings());
    const auto read = expect<ReadConfiguration>(apply.start(Start));
    const auto write = expect<WriteConfiguration>(apply.handle(ReadAnswered{read.attempt, stored}, Start));
    BOOST_TEST(write.head.earlier.size() == RememberedApplies - 1);
    BOOST_TEST(write.head.earlier.back().version == 100u);
}

BOOST_AUTO_TEST_CASE(ObjectKeepsItsHead)
{
    const ConfigurationHead head{"mine", "ann", {{"base", "bob", 4}}};
    const auto read = parseConfigurationHead(configurationObject(head, nlohmann::json::object()));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == head));
    BOOST_TEST(!parseConfigurationHead(nlohmann::json::parse(R"({"applyId":"a","who":"b","earlier":[{}]})")).has_value());
    BOOST_TEST(!parseConfigurationObject(nlohmann::json::parse(R"({"databases":[]})"), 3).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
