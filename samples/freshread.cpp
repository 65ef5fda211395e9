// Asks for the same rows with three degrees of freshness:
//
//   sample_freshread "host=10.0.1.5 port=6432 dbname=bookings user=parent-portal" 1
//
//  - session: the session's own writes and reads are seen; cheapest;
//  - 500ms: besides, the answer is at most that old;
//  - latest: besides, everything acknowledged before the read is seen.

#include "caller.h"

#include <iostream>

namespace
{

using samples::Caller;

int run(const std::string &conninfo, const std::string &id)
{
    {
        Caller writer(conninfo);
        writer.need("CREATE TABLE IF NOT EXISTS sample_slots (id int8 PRIMARY KEY)");
        writer.need("INSERT INTO sample_slots (id) VALUES (" + id + ") ON CONFLICT DO NOTHING");
    }
    Caller reader(conninfo);
    bool latestSaw = false;
    for (const std::string freshness : {"session", "500ms", "latest"}) {
        reader.need("SET egrettide.freshness = '" + freshness + "'");
        latestSaw = !reader.need("SELECT id FROM sample_slots WHERE id = " + id).rows.empty();
        std::cout << freshness << ": " << (latestSaw ? "seen" : "not yet seen") << '\n';
    }
    // Only the last one promises what another session's acknowledged write did.
    return latestSaw ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: sample_freshread CONNINFO NUMBER\n";
        return 2;
    }
    try {
        return run(argv[1], argv[2]);
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << '\n';
        return 1;
    }
}
