// One TCP link to a peer: reads verified frames, writes queued ones in batches,
// and knows since when it has been silent. It decides nothing about requests.

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

// What one read or write of a link moved, for its owner's counters.
struct PeerLinkHooks {
    // A whole, verified message and the size of its frame.
    std::function<void(hop::HopMessage message, std::size_t frameBytes)> onMessage;
    // Called when the socket is ready for more, after the queue was taken: the
    // owner appends whole frames to `buffer`. What is appended counts as sent.
    std::function<void(std::string &buffer)> fill;
    // The link is closed and will call no more hooks; called at most once, and
    // never from within a call of the owner.
    std::function<void()> onClosed;
};

// Must be owned by a shared_ptr, since reads and writes in flight keep it alive.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    // Frames are gathered up to this size for one write.
    static constexpr std::size_t writeBytes = std::size_t{256} * 1024;

    // Takes a connected socket. `pauseBytes` bounds the queue: while more is
    // queued, nothing is read, so that a peer which does not take its answers
    // cannot make this host hold ever more of them. 0 means never to pause.
    PeerLink(boost::asio::ip::tcp::socket socket, std::size_t pauseBytes);
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    void start(PeerLinkHooks hooks);
    // Queues a whole frame behind those already queued.
    void write(std::string frame);
    // Makes the link call `fill` soon; call it when there is something to append.
    void wake();
    // Closes the socket and reports onClosed later. What was queued is lost.
    void close();
    // Closes without a report; for owners that go away.
    void abandon();

    bool isOpen() const;
    // When the last bytes came from the peer.
    TimePoint lastReceivedAt() const;
    // When the last bytes left or came.
    TimePoint lastUsedAt() const;
    // Bytes queued or in the write under way.
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
    // The write under way; empty when there is none.
    std::string m_writing;
    bool m_wakePending = false;
    // Invariant: at most one read is under way, and none while paused.
    bool m_reading = false;
    bool m_open = true;
    TimePoint m_lastReceivedAt;
    TimePoint m_lastSentAt;
};

} // namespace egrettide
