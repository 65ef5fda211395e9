// Moves a session from one host to another and reads its own write there:
//
//   sample_movesession "host=10.0.1.5 port=6432 dbname=bookings user=branch-desks"
//                      "host=10.0.2.5 port=6432 dbname=bookings user=branch-desks" 1
//
// The token says how far the session has read and written, so that the second host
// knows at once how fresh an answer has to be. Without it nothing is lost: the first
// read waits for one confirmed look at the primary instead.

#include "caller.h"

#include <iostream>

namespace
{

using samples::Caller;

std::string withToken(const std::string &conninfo, const std::string &token)
{
    return conninfo + " options='-c egrettide.session=" + token + "'";
}

// Whether the connection sees the note.
bool sees(Caller &caller, const std::string &id)
{
    return !caller.need("SELECT id FROM sample_notes WHERE id = " + id).rows.empty();
}

int run(const std::string &first, const std::string &second, const std::string &id)
{
    Caller before(first);
    before.need("CREATE TABLE IF NOT EXISTS sample_notes (id int8 PRIMARY KEY)");
    before.need("INSERT INTO sample_notes (id) VALUES (" + id + ") ON CONFLICT DO NOTHING");
    const std::string token = before.token();
    if (token.empty()) {
        std::cerr << "no token was reported after a write\n";
        return 1;
    }
    Caller after(withToken(second, token));
    Caller stranger(second);
    const bool seen = sees(after, id);
    const bool seenWithoutToken = sees(stranger, id);
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
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << '\n';
        return 1;
    }
}
