// Client of the platform's object store and host list over keep-alive HTTP.

#pragma once

#include "runtime/store/httpclient.h"
#include "runtime/store/store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace egrettide
{

// See Store for the contract of each call. Used from the io_context's single thread.
class StoreClient : public Store
{
public:
    StoreClient(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint platform);

    void read(const std::string &key, TimePoint deadline, ObjectHandler handler) override;
    void write(const std::string &key, const nlohmann::json &value, std::optional<std::uint64_t> expectedVersion,
               TimePoint deadline, ObjectHandler handler) override;
    void watch(const std::string &key, std::uint64_t afterVersion, TimePoint deadline, ObjectHandler handler) override;
    void hosts(TimePoint deadline, HostsHandler handler) override;
    void registerHost(const ListedHost &self, TimePoint deadline, DoneHandler handler) override;
    void removeHost(const std::string &name, TimePoint deadline, DoneHandler handler) override;
    void moveTo(const boost::asio::ip::tcp::endpoint &address) override;
    StoreCallCounts callCounts() const override;

private:
    boost::asio::io_context &m_context;
    HttpClient m_http;
    StoreCallCounts m_counts;
};

} // namespace egrettide
