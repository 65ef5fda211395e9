// The dialect of PostgreSQL upstreams.

#include "runtime/upstreams/upstreamdialect.h"

#include "runtime/group/sqlcontrol.h"
#include "runtime/upstreams/upstreamconnection.h"
#include "wire/pgwire.h"

namespace egrettide
{

std::shared_ptr<const UpstreamDialect> postgresDialect()
{
    const auto dialect = std::make_shared<UpstreamDialect>();
    dialect->control.makeLink = [](boost::asio::io_context &context, const ConnectionSettings &settings) {
        return UpstreamConnection::create(context, settings);
    };
    dialect->control.codec = sqlControlCodec();
    pg::appendQuery(dialect->rollback, "ROLLBACK");
    return dialect;
}

} // namespace egrettide
