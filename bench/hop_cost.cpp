// Measures the hop codec: the frame size of a typical request and of a typical reply, and the time
// to encode and decode each of them. Build the preset "release" and run hop-cost.

#include "wire/hopcodec.h"

#include <chrono>
#include <cstdio>
#include <string>

using namespace egrettide;

namespace
{

hop::ExecuteRequest typicalRequest()
{
    StatementRequest request;
    request.id = 123456;
    request.database = "booking-17";
    request.upstream = "booking-17-2";
    request.kind = StatementKind::Read;
    request.className = "parents";
    request.tenant = "lakeshore";
    request.freshness.floor = LogMark{12, 3456789};
    request.batch.assign(200, 'q');
    return hop::ExecuteRequest{request};
}

hop::ExecuteReply typicalReply()
{
    StatementReply reply;
    reply.id = 123456;
    reply.bytes.assign(1000, 'r');
    reply.seen = LogMark{12, 3456790};
    reply.sent = true;
    reply.hint.database = "booking-17";
    reply.hint.term = 12;
    reply.hint.primary = "booking-17-0";
    for (const char *name : {"booking-17-0", "booking-17-1", "booking-17-2"}) {
        reply.hint.members.push_back(MemberHint{name, LogMark{12, 3456789}, milliseconds{4}, milliseconds{0}, true, false});
    }
    return hop::ExecuteReply{reply};
}

void measure(const char *name, const hop::HopMessage &message)
{
    constexpr int iterations = 300000;
    std::size_t frameBytes = 0;
    const TimePoint begin = Clock::now();
    for (int i = 0; i < iterations; ++i) {
        const std::string frame = hop::encodeFrame(message, begin);
        const auto decoded = hop::decodeFrame(std::string_view(frame).substr(hop::frameHeaderBytes), begin);
        frameBytes = decoded ? frame.size() : 0;
    }
    const std::chrono::duration<double, std::micro> elapsed = Clock::now() - begin;
    std::printf("%-8s %5zu bytes per frame, %.2f us to encode and decode\n", name, frameBytes, elapsed.count() / iterations);
}

} // namespace

int main()
{
    measure("request", typicalRequest());
    measure("reply", typicalReply());
    return 0;
}
