// What the codec of one hop costs: sizes and processor time of a typical request
// and answer, encoded and decoded once each. Run: build/release/hop-cost

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

void report(const char *name, const hop::HopMessage &message)
{
    constexpr int times = 300000;
    std::size_t frameBytes = 0;
    const TimePoint begin = Clock::now();
    for (int i = 0; i < times; ++i) {
        const std::string frame = hop::encodeFrame(message, begin);
        const auto decoded = hop::decodeFrame(std::string_view(frame).substr(hop::frameHeaderBytes), begin);
        frameBytes = decoded ? frame.size() : 0;
    }
    const std::chrono::duration<double, std::micro> taken = Clock::now() - begin;
    std::printf("%-8s %5zu bytes a frame, %.2f us to encode and decode\n", name, frameBytes, taken.count() / times);
}

} // namespace

int main()
{
    report("request", typicalRequest());
    report("reply", typicalReply());
    return 0;
}
