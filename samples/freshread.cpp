// Reads the same row with three freshness settings, each of which adds a guarantee:
//
//   sample_freshread "host=10.0.1.5 port=6432 dbname=bookings user=parent-portal" 1
//
//  - session: the read sees what the session has written and read before; the cheapest;
//  - 500ms: in addition, the state that is read is at most 500 ms old;
//  - latest: in addition, the read sees every write that was acknowledged before it.

#include "caller.h"

#include <iostream>

namespace
{

using samples::Caller;

int run(const std::string &conninfo, const std::string &slotId)
{
    {
        Caller writer(conninfo);
        writer.runOrThrow("CREATE TABLE IF NOT EXISTS sample_slots (id int8 PRIMARY KEY)");
        writer.runOrThrow("INSERT INTO sample_slots (id) VALUES (" + slotId + ") ON CONFLICT DO NOTHING");
    }
    Caller reader(conninfo);
    bool seen = false;
    for (const std::string freshness : {"session", "500ms", "latest"}) {
        reader.runOrThrow("SET egrettide.freshness = '" + freshness + "'");
        seen = !reader.runOrThrow("SELECT id FROM sample_slots WHERE id = " + slotId).rows.empty();
        std::cout << freshness << ": " << (seen ? "seen" : "not yet seen") << '\n';
    }
    // Only `latest`, the last setting, guarantees that another session's write is seen.
    return seen ? 0 : 1;
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
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
