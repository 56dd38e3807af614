#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "shallotlever/control/types.h"

namespace shallotlever {

/// What the leader knows about one other member.
struct Progress
{
    enum class Mode : std::uint8_t {
        /// One request at a time until the logs are known to agree.
        Probe,
        /// Requests are sent ahead of their replies.
        Stream,
        Snapshot,
    };

    Mode mode = Mode::Probe;
    /// Last index known to be durable on the member.
    LogIndex match;
    /// Next entry to send.
    LogIndex next;
    /// Probe: a request is on its way.
    bool probing = false;
    /// Stream: last index of each request without a reply.
    std::deque<LogIndex> inFlight;
    /// Snapshot: what is being sent, and the next byte.
    ControlSnapshotPtr snapshot;
    std::uint64_t snapshotOffset = 0;
    bool chunkInFlight = false;

    TimePoint lastSent;
    TimePoint lastHeard;
    /// Newest request that the member answered, by the leader's clock; for the lease.
    std::optional<TimePoint> answeredSentAt;
};

} // namespace shallotlever
