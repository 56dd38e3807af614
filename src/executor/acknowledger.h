#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "shallotlever/fleet/acknowledgement.h"

namespace shallotlever {

struct ExecutorContext;

/// Waits until a majority of the voting set has replicated a committed write. One round of status
/// queries serves all pending writes of the service.
class Acknowledger
{
public:
    using Callback = std::function<void(AckOutcome)>;

    /// `callback` is called once, from the event loop or before this function returns.
    void wait(ExecutorContext &context, const HistoryPoint &commit, TimePoint now,
              TimePoint deadline, Callback callback);

    void onStatus(ExecutorContext &context, const UpstreamId &upstream,
                  const UpstreamStatus &status, TimePoint askedAt);

    /// Completes the writes whose outcome is known and queries the members that have not confirmed
    /// the others.
    void advance(ExecutorContext &context);

    bool idle() const { return m_callbacks.empty(); }

private:
    void decide(ExecutorContext &context, TimePoint now);

    AckTracker m_tracker;
    std::map<std::uint64_t, Callback> m_callbacks;
    std::uint64_t m_lastWrite = 0;
    bool m_timerArmed = false;
};

} // namespace shallotlever
