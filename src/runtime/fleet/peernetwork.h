// Links to the other hosts: dials them by IP address and port, multiplexes the requests to a
// host over one link, and reports the outcome of every request.

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

// One link of a peer. A peer has one link for each of its threads that dials this host.
// A home therefore associates open transactions with the link and not with the host: losing
// one link must not roll back transactions of another.
struct PeerRef {
    std::string host;
    // Unique within one PeerNetwork; never reused.
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
    // Identifies this host; sent to every peer.
    hop::Hello self;
    // "IP:port" to listen on; empty when this instance only dials. Port 0 selects a free port.
    std::string listenAddress;
    // As UpstreamDialect::rollback. Has no default: bytes of another dialect would be a malformed
    // statement, and the transaction would stay open until it is idle for too long.
    std::string rollback;
    // Maximum bytes of unanswered requests on one link; the receiver grants them as credit.
    std::size_t windowBytes = std::size_t{8} * 1024 * 1024;
    // Maximum bytes waiting to be written on one link; further requests are refused.
    std::size_t queueBytes = std::size_t{8} * 1024 * 1024;
    // A connection within a region takes a few milliseconds. Dialing again after this timeout is
    // faster than waiting for TCP, which retransmits a lost SYN only after a second.
    milliseconds connectTimeout{400};
    // A dialed link without traffic is closed after this time.
    milliseconds idleTimeout{60000};
    // See LinkProbeOptions. A link is probed while it has unanswered requests, or messages sent
    // since the last byte was received.
    milliseconds pingInterval{500};
    // See LinkProbeOptions.
    //
    // With pingInterval alone, requests to a zone that is cut off wait for their deadlines until
    // the link is closed: of 450 reads a second, 150 failed after 0.6 to 0.8 s. Hosts that are
    // merely slow, or get no processor time for 100 ms, still answer pings.
    milliseconds quietInterval{80};
    // See LinkProbeOptions.
    milliseconds messageInterval{250};
    // Initial and maximum delay between two attempts to dial a peer; jittered.
    milliseconds firstBackoff{50};
    milliseconds longestBackoff{2000};
    std::uint64_t seed = 1;
    // Disabled only in tests that demonstrate the failures without them.
    bool matchesAnswersById = true;
    bool admitsUnknownOutcomes = true;
};

struct PeerNetworkHooks {
    // Called when a peer asks this host, as home, to run a request. The handler may be called
    // once, later, on the network's thread; after the link is lost it has no effect.
    std::function<void(const PeerRef &from, StatementRequest request, ReplyHandler reply)> onRequest;
    // Called for any other message of a peer.
    std::function<void(const PeerRef &from, hop::HopMessage message)> onMessage;
    // Called when a link that a peer dialed is lost. Its open transactions have to be rolled back
    // now, since the front has already reported "not run" to its callers.
    std::function<void(const PeerRef &from)> onLinkLost;
    // Called when a peer cannot be reached or its link breaks.
    std::function<void(const std::string &host)> onUnreachable;
};

// The outcome reported to a caller when no answer came from the home. Declared here because
// the rules are part of the contract with fronts, and for tests.
namespace detail
{

// True when the request may have committed although its answer is lost. A statement of an open
// transaction cannot: the home rolls the transaction back when the link is lost or the front
// cancels. The exception is a text of several statements, one of which may be a COMMIT.
bool mayHaveCommitted(const StatementRequest &request);

} // namespace detail

// All links of one thread. Used only from the thread of the io_context, which must be a single
// thread. The constructor and destructor run on that thread too, or while the context is stopped.
class PeerNetwork
{
public:
    PeerNetwork(boost::asio::io_context &context, PeerNetworkOptions options, PeerNetworkHooks hooks);
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;
    // Answers pending requests, as stop() does, and closes all links.
    ~PeerNetwork();

    // Starts listening. Fails with InvalidInput when the address cannot be used.
    tl::expected<void, Error> listen();
    // The port of the listener; 0 before listen().
    std::uint16_t port() const;

    // Runs a request at its home on another host. The handler is called exactly
    // once, never from within this call. When the reply carries an error of this
    // network, `sent` states whether the request was passed to the socket, which determines
    // the kind: a request that was never written gives Moved, Overloaded or
    // DeadlineExceeded, all "not run"; one that was written but not answered gives Moved for
    // reads and for statements of a transaction that the home rolls back with
    // the link, and UnknownOutcome for everything that may have committed.
    void execute(const std::string &peer, const std::string &address, StatementRequest request, ReplyHandler handler);
    // Cancels a request: notifies the home and drops a late answer. The handler is called at
    // once, as if the deadline had passed. The transaction of the request is rolled back in
    // any case: a reply with an error and transaction 0 reports that it has ended.
    void cancel(const std::string &peer, std::uint64_t requestId);
    // Sends any other message, over an open link if there is one. It may be lost
    // with the link: a sender that needs an answer has to repeat it.
    void send(const std::string &peer, const std::string &address, hop::HopMessage message);
    // Sends over an open link only, to a host whose address is not known: one that has sent a
    // message before this host has heard of it from others.
    void sendIfLinked(const std::string &peer, const hop::HopMessage &message);
    // Sends over the same link that a message was received on.
    void sendOn(const PeerRef &peer, const hop::HopMessage &message);
    // Sends to every peer with an open link. For rare announcements; gossip carries the rest.
    void sendToAll(const hop::HopMessage &message);

    // Closes all links of a host that has left or failed: reports its links by onLinkLost and
    // answers the requests to it.
    void drop(const std::string &host);

    // Unanswered requests of both directions, and unwritten bytes: a graceful stop waits until
    // both are 0.
    std::size_t unansweredRequests() const;
    std::size_t unwrittenBytes() const;
    // Open links in both directions.
    std::size_t linkCount() const;
    PeerTraffic traffic() const;
    // When a message from a host of another availability zone last arrived; the epoch of the clock
    // before the first. May be called from any thread.
    TimePoint lastHeardElsewhere() const;
    // Answers every pending request as if its link were lost, and closes all links.
    void stop();

private:
    class State;
    std::shared_ptr<State> m_state;
};

} // namespace egrettide
