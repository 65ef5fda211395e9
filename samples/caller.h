// Shared by the samples: a connection that is closed when it goes out of scope, and what
// a caller may assume after each answer. Depends on libpq only, so that programs can copy it.

#pragma once

#include <libpq-fe.h>

#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace samples
{

// What a caller may assume about a request.
enum class Outcome {
    // It succeeded; the answer holds its rows.
    Done,
    // No part of the request ran; it is safe to send it again.
    NotRun,
    // It may have taken effect, or may still take effect.
    Unknown,
    // The upstream answered with an error; the SQLSTATE gives the reason.
    Failed,
};

struct Answer {
    Outcome outcome = Outcome::Failed;
    std::string sqlState;
    std::string message;
    // The delay before a retry, from the error's hint; 0 if the hint has none.
    int retryAfterMs = 0;
    std::vector<std::vector<std::string>> rows;
};

namespace detail
{

inline constexpr std::string_view notRunHint = "Not run.";
inline constexpr std::string_view retryAfterPrefix = "Come back in ";
inline constexpr std::string_view unknownOutcomeSqlState = "08007";
inline constexpr std::string_view duplicateKeySqlState = "23505";

struct ConnectionDeleter {
    void operator()(PGconn *connection) const
    {
        PQfinish(connection);
    }
};

struct ResultDeleter {
    void operator()(PGresult *result) const
    {
        PQclear(result);
    }
};

inline std::string stringOrEmpty(const char *text)
{
    return text != nullptr ? text : "";
}

// Returns the milliseconds of a hint such as "Come back in 50 ms.", or 0 if it has none.
inline int parseRetryAfterMs(const std::string &text)
{
    const std::size_t position = text.find(retryAfterPrefix);
    return position == std::string::npos ? 0 : std::atoi(text.c_str() + position + retryAfterPrefix.size());
}

inline Answer errorAnswer(const PGconn *connection, const PGresult *result)
{
    Answer answer;
    answer.sqlState = stringOrEmpty(PQresultErrorField(result, PG_DIAG_SQLSTATE));
    answer.message = stringOrEmpty(PQresultErrorMessage(result));
    std::string hint = stringOrEmpty(PQresultErrorField(result, PG_DIAG_MESSAGE_HINT));
    if (answer.sqlState.empty()) {
        // The connection was closed. A draining host sends an error before it closes;
        // libpq may report it only in the connection's message, without separate fields.
        answer.message += stringOrEmpty(PQerrorMessage(connection));
        const std::size_t position = answer.message.find(notRunHint);
        hint = position == std::string::npos ? std::string() : answer.message.substr(position);
        answer.outcome = Outcome::Unknown;
    }
    if (std::string_view(hint).starts_with(notRunHint)) {
        answer.outcome = Outcome::NotRun;
        answer.retryAfterMs = parseRetryAfterMs(hint);
    } else if (answer.sqlState == unknownOutcomeSqlState) {
        answer.outcome = Outcome::Unknown;
    }
    return answer;
}

} // namespace detail

// One connection to an entry host.
class Caller
{
public:
    // `conninfo`: a libpq connection string. Throws std::runtime_error if no host accepts
    // the connection.
    explicit Caller(const std::string &conninfo) : m_connection(PQconnectdb(conninfo.c_str()))
    {
        if (PQstatus(m_connection.get()) != CONNECTION_OK) {
            throw std::runtime_error(PQerrorMessage(m_connection.get()));
        }
    }

    // Runs one statement and waits for its answer. Errors are returned, not thrown.
    Answer run(const std::string &statement)
    {
        const std::unique_ptr<PGresult, detail::ResultDeleter> result(PQexec(m_connection.get(), statement.c_str()));
        const ExecStatusType status = PQresultStatus(result.get());
        if (status != PGRES_COMMAND_OK && status != PGRES_TUPLES_OK) {
            return detail::errorAnswer(m_connection.get(), result.get());
        }
        Answer answer;
        answer.outcome = Outcome::Done;
        for (int row = 0; row < PQntuples(result.get()); ++row) {
            std::vector<std::string> values;
            for (int column = 0; column < PQnfields(result.get()); ++column) {
                values.emplace_back(PQgetvalue(result.get(), row, column));
            }
            answer.rows.push_back(std::move(values));
        }
        return answer;
    }

    // Like run(), but throws std::runtime_error unless the statement succeeds.
    Answer runOrThrow(const std::string &statement)
    {
        Answer answer = run(statement);
        if (answer.outcome != Outcome::Done) {
            throw std::runtime_error(statement + ": " + answer.message);
        }
        return answer;
    }

    // The session token. Pass it to the session's next connection, on any host.
    // Empty before the first write or confirmed read.
    std::string token() const
    {
        return detail::stringOrEmpty(PQparameterStatus(m_connection.get(), "egrettide.session"));
    }

private:
    std::unique_ptr<PGconn, detail::ConnectionDeleter> m_connection;
};

inline bool isDuplicateKey(const Answer &answer)
{
    return answer.sqlState == detail::duplicateKeySqlState;
}

} // namespace samples
