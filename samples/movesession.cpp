// Moves a session from one host to another and reads its own write there:
//
//   sample_movesession "host=10.0.1.5 port=6432 dbname=bookings user=branch-desks"
//                      "host=10.0.2.5 port=6432 dbname=bookings user=branch-desks" 1
//
// The session token holds the log position of the session's last write or read, so the
// second host knows at once how fresh an answer has to be. A session without a token still
// reads its own writes, but its first read waits until the primary's position is confirmed.

#include "caller.h"

#include <iostream>

namespace
{

using samples::Caller;

std::string conninfoWithToken(const std::string &conninfo, const std::string &token)
{
    return conninfo + " options='-c egrettide.session=" + token + "'";
}

// True if a read on the connection returns the note.
bool isVisible(Caller &caller, const std::string &noteId)
{
    return !caller.runOrThrow("SELECT id FROM sample_notes WHERE id = " + noteId).rows.empty();
}

int run(const std::string &firstConninfo, const std::string &secondConninfo, const std::string &noteId)
{
    Caller firstCaller(firstConninfo);
    firstCaller.runOrThrow("CREATE TABLE IF NOT EXISTS sample_notes (id int8 PRIMARY KEY)");
    firstCaller.runOrThrow("INSERT INTO sample_notes (id) VALUES (" + noteId + ") ON CONFLICT DO NOTHING");
    const std::string token = firstCaller.token();
    if (token.empty()) {
        std::cerr << "the host reported no session token after a write\n";
        return 1;
    }
    Caller callerWithToken(conninfoWithToken(secondConninfo, token));
    Caller callerWithoutToken(secondConninfo);
    const bool seen = isVisible(callerWithToken, noteId);
    const bool seenWithoutToken = isVisible(callerWithoutToken, noteId);
    std::cout << "with the token: " << (seen ? "seen" : "MISSING") << '\n'
              << "without it: " << (seenWithoutToken ? "seen" : "MISSING") << '\n';
    return seen && seenWithoutToken ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        std::cerr << "usage: sample_movesession CONNINFO CONNINFO NUMBER\n";
        return 2;
    }
    try {
        return run(argv[1], argv[2], argv[3]);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
