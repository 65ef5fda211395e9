// Parses "IP:port" addresses.

#include "runtime/host/address.h"

#include <absl/strings/numbers.h>

namespace egrettide
{

tl::expected<boost::asio::ip::tcp::endpoint, Error> parseEndpoint(const std::string &address)
{
    const auto refuse = [&address] {
        return tl::unexpected(Error{ErrorKind::InvalidInput,
                                    "\"" + address + "\" is not a valid address; write it as IP:port, such as 10.0.0.1:5432.",
                                    milliseconds{0}});
    };
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return refuse();
    }
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), failure);
    int port = 0;
    constexpr int highestPort = 65535;
    const bool isNumber = absl::SimpleAtoi(address.substr(colon + 1), &port);
    if (failure || !isNumber || port < 0 || port > highestPort) {
        return refuse();
    }
    return boost::asio::ip::tcp::endpoint(ip, static_cast<unsigned short>(port));
}

} // namespace egrettide
