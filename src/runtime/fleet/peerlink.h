// One TCP link to a peer: reads verified frames, writes queued frames in batches, and records
// when bytes were last received and sent. It has no knowledge of requests.

#pragma once

#include "egrettide/core/types.h"
#include "wire/hopcodec.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace egrettide
{

// Callbacks of a link to its owner.
struct PeerLinkHooks {
    // Called with a complete, verified message and the size of its frame.
    std::function<void(hop::HopMessage message, std::size_t frameBytes)> onMessage;
    // Called when the socket accepts more data, after the queue has been moved to the write
    // buffer: the owner appends whole frames to `buffer`. Appended frames count as sent.
    std::function<void(std::string &buffer)> fill;
    // Called at most once, after the link has closed, and never from within a call of the
    // owner. No other hook is called afterwards.
    std::function<void()> onClosed;
};

// Must be owned by a shared_ptr, since reads and writes in flight keep it alive.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    // Maximum bytes of frames that are combined into one write.
    static constexpr std::size_t writeBytes = std::size_t{256} * 1024;

    // Takes ownership of a connected socket. While more than `pauseBytes` are queued, the link
    // reads nothing: a peer that does not read its answers cannot make the queue grow without
    // bound. 0 disables the pause.
    PeerLink(boost::asio::ip::tcp::socket socket, std::size_t pauseBytes);
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    void start(PeerLinkHooks hooks);
    // Queues a whole frame behind those already queued.
    void write(std::string frame);
    // Schedules a call of `fill`; the owner calls this when it has frames to append.
    void scheduleFill();
    // Closes the socket and calls onClosed later. Queued frames are lost.
    void close();
    // Closes without calling onClosed; for owners that are being destroyed.
    void abandon();

    bool isOpen() const;
    // When bytes were last received from the peer.
    TimePoint lastReceivedAt() const;
    // When bytes were last sent or received.
    TimePoint lastUsedAt() const;
    // The newest message that the peer knows; see hop::Hello. Until it is set, only messages that
    // every host knows may be sent.
    void setPeerNewestMessage(std::uint8_t number)
    {
        m_peerNewestMessage = number;
    }
    std::uint8_t peerNewestMessage() const
    {
        return m_peerNewestMessage;
    }
    // Bytes that are queued or in the current write.
    std::size_t unwrittenBytes() const;

private:
    void read();
    void onReadable();
    bool deliverFrames();
    void beginWrite();
    void takeQueue();
    void onWritten();
    void resumeReading();

    boost::asio::ip::tcp::socket m_socket;
    const std::size_t m_pauseBytes;
    PeerLinkHooks m_hooks;
    hop::FrameSplitter m_splitter;
    std::deque<std::string> m_queue;
    // Sum of the sizes in m_queue.
    std::size_t m_queuedBytes = 0;
    // The data of the current write; empty when there is none.
    std::string m_writing;
    bool m_fillPending = false;
    // Invariant: at most one read is pending, and none while paused.
    bool m_reading = false;
    bool m_open = true;
    TimePoint m_lastReceivedAt;
    TimePoint m_lastSentAt;
    std::uint8_t m_peerNewestMessage = 0;
};

} // namespace egrettide
