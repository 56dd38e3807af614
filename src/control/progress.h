#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "shallotlever/control/types.h"

namespace shallotlever {

/// The leader's replication state of one other member.
struct Progress
{
    enum class Mode : std::uint8_t {
        /// Sends one request at a time until the index up to which the logs match is known.
        Probe,
        /// Pipelines requests without waiting for replies.
        Stream,
        /// Sends a snapshot in chunks.
        Snapshot,
    };

    Mode mode = Mode::Probe;
    /// Last index known to be durable on the member.
    LogIndex match;
    /// Index of the next entry to send.
    LogIndex next;
    /// Probe mode: a request has not been answered yet.
    bool probeInFlight = false;
    /// Stream mode: last index of each request that has not been answered yet.
    std::deque<LogIndex> inFlight;
    /// Snapshot mode: the snapshot being sent, and the offset of the next byte to send.
    ControlSnapshotPtr snapshot;
    std::uint64_t snapshotOffset = 0;
    bool chunkInFlight = false;

    TimePoint lastSentAt;
    TimePoint lastReplyAt;
    /// Send time, by the leader's clock, of the latest request that the member answered. The
    /// leader's lease is computed from it.
    std::optional<TimePoint> lastAnsweredSentAt;
};

} // namespace shallotlever
