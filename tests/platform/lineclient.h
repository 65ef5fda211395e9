// A test client for the line protocol: sends a line and waits for the answer.

#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <vector>

namespace egrettide::test
{

// The lines received before READY, and the state that READY reported. `broken` is set when the
// connection ended first.
struct LineAnswer {
    std::vector<std::string> lines;
    char state = '?';
    bool broken = false;

    // The first line, or an empty text.
    std::string first() const
    {
        return lines.empty() ? std::string() : lines.front();
    }
    bool succeeded() const
    {
        return !lines.empty() && lines.back().starts_with("COMPLETE");
    }
    bool failedWith(const std::string &code) const
    {
        return first().starts_with("ERROR " + code);
    }
};

// Blocking client; a test that hangs is ended by its time limit.
class LineClient
{
public:
    // "IP:port".
    explicit LineClient(const std::string &address)
    {
        const std::size_t colon = address.rfind(':');
        const auto port = static_cast<unsigned short>(std::stoi(address.substr(colon + 1)));
        m_socket.connect({boost::asio::ip::make_address(address.substr(0, colon)), port});
        m_socket.set_option(boost::asio::ip::tcp::no_delay(true));
    }

    LineAnswer start(const std::string &route, const std::string &key = "u1")
    {
        return exchange("STARTUP " + route + " " + key);
    }

    // Assigns a unique id to the statement.
    LineAnswer run(const std::string &text)
    {
        lastId = "q" + std::to_string(++m_lastId) + "x" + std::to_string(reinterpret_cast<std::uintptr_t>(this));
        return exchange("QUERY " + lastId + " " + text);
    }

    LineAnswer exchange(const std::string &line)
    {
        boost::system::error_code failed;
        boost::asio::write(m_socket, boost::asio::buffer(line + "\r\n"), failed);
        return receive();
    }

    LineAnswer receive()
    {
        LineAnswer answer;
        for (;;) {
            boost::system::error_code failed;
            const std::size_t size = boost::asio::read_until(m_socket, m_input, "\r\n", failed);
            if (failed) {
                answer.broken = true;
                return answer;
            }
            const auto received = m_input.data();
            std::string line(static_cast<const char *>(received.data()), size - 2);
            m_input.consume(size);
            if (line.starts_with("READY ")) {
                answer.state = line[6];
                return answer;
            }
            answer.lines.push_back(line);
        }
    }

    void close()
    {
        m_socket.close();
    }

    std::string lastId;

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket{m_context};
    boost::asio::streambuf m_input;
    int m_lastId = 0;
};

} // namespace egrettide::test
