// Reading, write batching and closing of one link.

#include "runtime/fleet/peerlink.h"

#include "runtime/host/socketoptions.h"
#include "wire/idlebuffer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace egrettide
{

namespace
{

constexpr std::size_t readBytes = std::size_t{64} * 1024;

} // namespace

PeerLink::PeerLink(boost::asio::ip::tcp::socket socket, std::size_t pauseBytes)
    : m_socket(std::move(socket)), m_pauseBytes(pauseBytes), m_lastReceivedAt(Clock::now()), m_lastSentAt(m_lastReceivedAt)
{
}

void PeerLink::start(PeerLinkHooks hooks)
{
    m_hooks = std::move(hooks);
    // Requests and answers are small and alternate; Nagle's algorithm would delay them by a
    // round trip.
    boost::system::error_code ignored;
    setLongLivedOptions(m_socket);
    m_socket.non_blocking(true, ignored);
    read();
}

void PeerLink::write(std::string frame)
{
    if (!m_open) {
        return;
    }
    m_queuedBytes += frame.size();
    m_queue.push_back(std::move(frame));
    scheduleFill();
}

void PeerLink::scheduleFill()
{
    if (m_fillPending || !m_open || !m_writing.empty()) {
        return;
    }
    // Deferred so that all frames of one event loop iteration share one write.
    m_fillPending = true;
    boost::asio::post(m_socket.get_executor(), [link = shared_from_this()] {
        link->m_fillPending = false;
        link->beginWrite();
    });
}

void PeerLink::close()
{
    if (!m_open) {
        return;
    }
    abandon();
    boost::asio::post(m_socket.get_executor(), [link = shared_from_this()] {
        const PeerLinkHooks hooks = std::exchange(link->m_hooks, {});
        if (hooks.onClosed) {
            hooks.onClosed();
        }
    });
}

void PeerLink::abandon()
{
    m_open = false;
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

bool PeerLink::isOpen() const
{
    return m_open;
}

TimePoint PeerLink::lastReceivedAt() const
{
    return m_lastReceivedAt;
}

TimePoint PeerLink::lastUsedAt() const
{
    return std::max(m_lastReceivedAt, m_lastSentAt);
}

std::size_t PeerLink::unwrittenBytes() const
{
    return m_queuedBytes + m_writing.size();
}

void PeerLink::read()
{
    m_reading = true;
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [link = shared_from_this()](const boost::system::error_code &error) {
                            link->m_reading = false;
                            if (!link->m_open) {
                                return;
                            }
                            if (error) {
                                link->close();
                                return;
                            }
                            link->onReadable();
                        });
}

// All links of a thread share one read buffer: with a thousand links, a buffer per link
// would use more memory than all other control state of the host.
void PeerLink::onReadable()
{
    thread_local std::array<char, readBytes> buffer;
    boost::system::error_code error;
    const std::size_t size = m_socket.read_some(boost::asio::buffer(buffer), error);
    if (error == boost::asio::error::would_block) {
        read();
        return;
    }
    if (error) {
        close();
        return;
    }
    m_lastReceivedAt = Clock::now();
    m_splitter.feed(std::string_view(buffer.data(), size));
    if (!deliverFrames()) {
        close();
        return;
    }
    resumeReading();
}

// Returns false when the received bytes are not a valid frame. The stream cannot be
// resynchronized then: a wrong guess could deliver one caller's answer to another.
bool PeerLink::deliverFrames()
{
    while (m_open) {
        const auto frame = m_splitter.next();
        if (!frame) {
            return false;
        }
        if (!frame->has_value()) {
            return true;
        }
        auto message = hop::decodeFrame(**frame, m_lastReceivedAt);
        if (!message) {
            return false;
        }
        m_hooks.onMessage(std::move(*message), (*frame)->size() + hop::frameHeaderBytes);
    }
    return true;
}

void PeerLink::resumeReading()
{
    const bool paused = m_pauseBytes > 0 && unwrittenBytes() > m_pauseBytes;
    if (m_open && !m_reading && !paused) {
        read();
    }
}

void PeerLink::beginWrite()
{
    if (!m_open || !m_writing.empty()) {
        return;
    }
    takeQueue();
    if (m_writing.size() < writeBytes && m_hooks.fill) {
        m_hooks.fill(m_writing);
    }
    if (m_writing.empty()) {
        return;
    }
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing),
                             [link = shared_from_this()](const boost::system::error_code &error, std::size_t /*size*/) {
                                 if (!link->m_open) {
                                     return;
                                 }
                                 if (error) {
                                     link->close();
                                     return;
                                 }
                                 link->onWritten();
                             });
}

void PeerLink::takeQueue()
{
    while (!m_queue.empty() && m_writing.size() < writeBytes) {
        m_queuedBytes -= m_queue.front().size();
        m_writing += m_queue.front();
        m_queue.pop_front();
    }
}

void PeerLink::onWritten()
{
    clearIdleBuffer(m_writing);
    m_lastSentAt = Clock::now();
    beginWrite();
    resumeReading();
}

} // namespace egrettide
