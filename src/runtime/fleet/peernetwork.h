// Links to the other hosts: dials them by IP and port, multiplexes requests to
// homes over one link each, and says exactly what became of every request.

#pragma once

#include "egrettide/core/request.h"
#include "wire/hopcodec.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace egrettide
{

// One link of a peer. A peer has one link for each of its threads that dials
// us, so a home ties open transactions to the link and not to the host: losing
// one link must not roll back transactions that came over another.
struct PeerRef {
    std::string host;
    // Unique within one PeerNetwork and never used again.
    std::uint64_t link = 0;

    auto operator<=>(const PeerRef &) const = default;
};

// Bytes and messages on all links since the start, frame headers included.
struct PeerTraffic {
    std::uint64_t controlBytesSent = 0;
    std::uint64_t controlBytesReceived = 0;
    std::uint64_t requestBytesSent = 0;
    std::uint64_t requestBytesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
};

struct PeerNetworkOptions {
    // Who this host is; told to every peer.
    hop::Hello self;
    // "IP:port" to listen on; empty when this instance only dials. Port 0 takes a free one.
    std::string listenAddress;
    // Request bytes that one link may have unanswered at its receiver.
    std::size_t windowBytes = std::size_t{8} * 1024 * 1024;
    // Bytes waiting to be written on one link; beyond it requests are refused.
    std::size_t queueBytes = std::size_t{8} * 1024 * 1024;
    // A connection within a region takes a few milliseconds; one that takes longer than
    // this is better tried anew, as an opening packet that was dropped is only sent again
    // after a second.
    milliseconds connectTimeout{400};
    // A dialled link without traffic is closed after this.
    milliseconds idleTimeout{60000};
    // See LinkProbeOptions. A link with requests unanswered, or messages sent on it since
    // the last byte came, is probed.
    milliseconds pingInterval{500};
    // See LinkProbeOptions.
    //
    // What goes wrong with the longer interval alone: a zone is cut off, and everything
    // that was sent there, or is sent until the link is given up, waits for its deadline:
    // 150 reads of 450 a second failed so, each after 0.6 to 0.8 s. Hosts that are merely
    // slow, or wait for their share of the processor for a tenth of a second, answer pings.
    milliseconds quietInterval{80};
    // See LinkProbeOptions.
    milliseconds messageInterval{250};
    // First and longest pause between two attempts to dial a peer; jittered.
    milliseconds firstBackoff{50};
    milliseconds longestBackoff{2000};
    std::uint64_t seed = 1;
    // Off only in tests that show what goes wrong without them.
    bool matchesAnswersById = true;
    bool admitsUnknownOutcomes = true;
};

struct PeerNetworkHooks {
    // A peer asks this host, as home, to run a request. The handler may be called
    // once, later, on the network's thread; after the link is lost it does nothing.
    std::function<void(const PeerRef &from, StatementRequest request, ReplyHandler reply)> onRequest;
    // Any other message of a peer.
    std::function<void(const PeerRef &from, hop::HopMessage message)> onMessage;
    // A link of a peer to us is gone: its open transactions have to be rolled
    // back now, since its front has already been told "not run" for them.
    std::function<void(const PeerRef &from)> onLinkLost;
    // A peer could not be reached or its link broke.
    std::function<void(const std::string &host)> onUnreachable;
};

// What a caller is told when the network could not get an answer from the home.
// Public since the rules are part of the contract with fronts and are tested.
namespace detail
{

// True when the request may have committed something although its answer is
// lost. A statement of an open transaction cannot, since the home rolls that back
// with the link, or when the front gives up; unless it is a text of several
// statements, one of which may be a COMMIT.
bool mayHaveCommitted(const StatementRequest &request);

} // namespace detail

// All links of one thread. Used from the io_context's thread only, which must be
// a single thread; the constructor and destructor too, or while it is stopped.
class PeerNetwork
{
public:
    PeerNetwork(boost::asio::io_context &context, PeerNetworkOptions options, PeerNetworkHooks hooks);
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;
    // Closes everything; pending requests are answered first, as by stop().
    ~PeerNetwork();

    // Starts to listen. InvalidInput when the address cannot be used.
    tl::expected<void, Error> listen();
    // The port that it listens on, 0 before listen().
    std::uint16_t port() const;

    // Runs a request at its home on another host. The handler is called exactly
    // once, never from within this call. When the reply carries an error of this
    // network, `sent` says whether the request was handed to the socket, and the
    // kind follows from it: never written gives Moved, Overloaded or
    // DeadlineExceeded, all "not run"; written and unanswered gives Moved for
    // reads and for statements of a transaction that the home rolls back with
    // the link, and UnknownOutcome for everything that may have committed.
    void execute(const std::string &peer, const std::string &address, StatementRequest request, ReplyHandler handler);
    // Gives up on a request: the home is told, and a late answer is dropped. The
    // handler is answered at once, as if the deadline had passed. The transaction
    // of the request is rolled back with it, whatever had become of it: a reply
    // with an error and transaction 0 says that it is over.
    void cancel(const std::string &peer, std::uint64_t requestId);
    // Sends any other message, over an open link if there is one. It may be lost
    // with the link: whoever needs an answer has to ask again.
    void send(const std::string &peer, const std::string &address, hop::HopMessage message);
    // Answers on the very link that a message came over.
    void sendOn(const PeerRef &peer, const hop::HopMessage &message);
    // Sends to every peer with an open link. For rare news; gossip carries the rest.
    void sendToAll(const hop::HopMessage &message);

    // Closes all links of a host that is known to be gone: its open transactions
    // are reported by onLinkLost, and requests to it are answered.
    void drop(const std::string &host);

    // Requests of both directions that are not answered yet, and bytes that are
    // not written yet: a stop that cuts nothing waits until both are 0.
    std::size_t unansweredRequests() const;
    std::size_t unwrittenBytes() const;
    // Open links in both directions.
    std::size_t linkCount() const;
    PeerTraffic traffic() const;
    // Answers every pending request as if its link had broken, and closes all links.
    void stop();

private:
    class State;
    std::shared_ptr<State> m_state;
};

} // namespace egrettide
