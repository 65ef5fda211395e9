// Makes a booking and its charge exactly once, despite retries and lost answers:
//
//   sample_booking "host=10.0.1.5 port=6432 dbname=bookings user=branch-desks" 4711
//
// The booking number is the idempotency key: it is chosen before the first attempt and
// is the same for all attempts. Each failure is handled according to its outcome:
//  - not run: wait for the delay in the error's hint and send the transaction again;
//  - unknown outcome: send the same transaction again. A duplicate key error then means
//    that an earlier attempt has committed. A SELECT of the booking can't replace this,
//    since it does not see a transaction that is still running;
//  - refused by the database: the error is final, do not retry.

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
using samples::Outcome;

constexpr int maxAttempts = 200;
constexpr int minRetryDelayMs = 50;

void waitBeforeRetry(int retryAfterMs)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max(retryAfterMs, minRetryDelayMs)));
}

// Inserts the booking and its charge in one transaction, so that either both are stored
// or neither is.
Answer bookInTransaction(Caller &caller, const std::string &number)
{
    const std::string charge = "INSERT INTO sample_charges (booking, cents) VALUES (" + number + ", 2500)";
    const std::string booking = "INSERT INTO sample_bookings (id) VALUES (" + number + ")";
    for (const std::string &statement : {std::string("BEGIN"), booking, charge}) {
        Answer answer = caller.run(statement);
        if (answer.outcome == Outcome::Unknown) {
            // COMMIT has not been sent, so the transaction is rolled back.
            answer.outcome = Outcome::NotRun;
        }
        if (answer.outcome != Outcome::Done) {
            caller.run("ROLLBACK");
            return answer;
        }
    }
    return caller.run("COMMIT");
}

// Opens a new connection for each attempt, since the host of the previous one may have stopped.
Answer attemptBooking(const std::string &conninfo, const std::string &number)
{
    try {
        Caller caller(conninfo);
        return bookInTransaction(caller, number);
    } catch (const std::runtime_error &error) {
        Answer answer;
        answer.outcome = Outcome::NotRun;
        answer.message = error.what();
        return answer;
    }
}

bool bookWithRetries(const std::string &conninfo, const std::string &number)
{
    for (int attempt = 1; attempt <= maxAttempts; ++attempt) {
        const Answer answer = attemptBooking(conninfo, number);
        if (answer.outcome == Outcome::Done || samples::isDuplicateKey(answer)) {
            std::cout << "booked " << number << " after " << attempt << " attempt(s)"
                      << (answer.outcome == Outcome::Done ? "" : "; an earlier attempt had committed") << '\n';
            return true;
        }
        std::cout << "attempt " << attempt << ": " << answer.message << '\n';
        if (answer.outcome == Outcome::Failed) {
            return false;
        }
        waitBeforeRetry(answer.retryAfterMs);
    }
    return false;
}

// Retries after any error, so the statement must be idempotent. Throws std::runtime_error
// after the last attempt.
Answer runWithRetries(const std::string &conninfo, const std::string &statement)
{
    Answer answer;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        try {
            Caller caller(conninfo);
            caller.runOrThrow("SET egrettide.freshness = 'latest'");
            answer = caller.runOrThrow(statement);
            return answer;
        } catch (const std::runtime_error &error) {
            answer.message = error.what();
            waitBeforeRetry(0);
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
        runWithRetries(conninfo, "CREATE TABLE IF NOT EXISTS sample_bookings (id int8 PRIMARY KEY)");
        runWithRetries(conninfo, "CREATE TABLE IF NOT EXISTS sample_charges (booking int8, cents int8)");
        const bool booked = bookWithRetries(conninfo, number);
        const Answer charges = runWithRetries(conninfo, "SELECT count(*) FROM sample_charges WHERE booking = " + number);
        std::cout << "charges for " << number << ": " << charges.rows.at(0).at(0) << '\n';
        return booked ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
