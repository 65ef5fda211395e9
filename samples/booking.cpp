// Books a session and charges for it, once, whatever happens on the way:
//
//   sample_booking "host=10.0.1.5 port=6432 dbname=bookings user=branch-desks" 4711
//
// The booking number is the idempotency key, chosen before the first attempt and
// kept for all of them. Three cases that programs often treat alike are kept apart:
//  - not run: wait as told and send it again;
//  - unknown outcome: send the same transaction again. The key decides: a duplicate
//    means that the lost attempt did take effect. Looking the booking up first is
//    not enough, since a transaction that is still under way shows nothing yet;
//  - refused by the database: that is the answer, do not repeat it.

#include "caller.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <optional>
#include <thread>

namespace
{

using samples::Answer;
using samples::Caller;
using samples::Verdict;

constexpr int attempts = 200;
constexpr int shortestPauseMs = 50;

void waitBeforeNext(int retryAfterMs)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max(retryAfterMs, shortestPauseMs)));
}

// One attempt; the charge is in the same transaction as its booking, so either
// both are there or neither is.
Answer tryToBook(Caller &caller, const std::string &number)
{
    const std::string charge = "INSERT INTO sample_charges (booking, cents) VALUES (" + number + ", 2500)";
    const std::string booking = "INSERT INTO sample_bookings (id) VALUES (" + number + ")";
    for (const std::string &statement : {std::string("BEGIN"), booking, charge}) {
        Answer answer = caller.run(statement);
        if (answer.verdict == Verdict::Unknown) {
            // COMMIT was not sent: a lost transaction is rolled back.
            answer.verdict = Verdict::NotRun;
        }
        if (answer.verdict != Verdict::Done) {
            caller.run("ROLLBACK");
            return answer;
        }
    }
    return caller.run("COMMIT");
}

// An attempt on a connection of its own: the host of the last one may be gone.
Answer tryOnce(const std::string &conninfo, const std::string &number)
{
    try {
        Caller caller(conninfo);
        return tryToBook(caller, number);
    } catch (const std::runtime_error &failure) {
        Answer answer;
        answer.verdict = Verdict::NotRun;
        answer.message = failure.what();
        return answer;
    }
}

bool book(const std::string &conninfo, const std::string &number)
{
    for (int attempt = 1; attempt <= attempts; ++attempt) {
        const Answer answer = tryOnce(conninfo, number);
        if (answer.verdict == Verdict::Done || samples::isDuplicateKey(answer)) {
            std::cout << "booked " << number << " after " << attempt << " attempt(s)"
                      << (answer.verdict == Verdict::Done ? "" : ", by an earlier one") << '\n';
            return true;
        }
        std::cout << "attempt " << attempt << ": " << answer.message << '\n';
        if (answer.verdict == Verdict::Failed) {
            return false;
        }
        waitBeforeNext(answer.retryAfterMs);
    }
    return false;
}

// Repeats a statement that is harmless to repeat.
Answer runPatiently(const std::string &conninfo, const std::string &statement)
{
    Answer answer;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        try {
            Caller caller(conninfo);
            caller.need("SET egrettide.freshness = 'latest'");
            answer = caller.need(statement);
            return answer;
        } catch (const std::runtime_error &failure) {
            answer.message = failure.what();
            waitBeforeNext(0);
        }
    }
    throw std::runtime_error(answer.message);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: sample_booking CONNINFO NUMBER\n";
        return 2;
    }
    const std::string conninfo = argv[1];
    const std::string number = argv[2];
    try {
        runPatiently(conninfo, "CREATE TABLE IF NOT EXISTS sample_bookings (id int8 PRIMARY KEY)");
        runPatiently(conninfo, "CREATE TABLE IF NOT EXISTS sample_charges (booking int8, cents int8)");
        const bool booked = book(conninfo, number);
        const Answer charges = runPatiently(conninfo, "SELECT count(*) FROM sample_charges WHERE booking = " + number);
        std::cout << "charges for " << number << ": " << charges.rows.at(0).at(0) << '\n';
        return booked ? 0 : 1;
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << '\n';
        return 1;
    }
}
