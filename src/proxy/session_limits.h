#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <vector>

#include "shallotlever/base/memory_budget.h"
#include "shallotlever/proxy/proxy.h"
#include "shallotlever/telemetry/metrics.h"
#include "shallotlever/types/config.h"

namespace shallotlever {

/// The limit because of which the node closed a session.
enum class LimitReason : std::uint8_t {
    /// Others need the memory that it holds.
    Memory,
    /// An incomplete line has not grown by kReadAheadBytes in time.
    UnfinishedLine,
    /// An answer was not taken in time.
    UnreadAnswer,
    /// The node has no descriptor for a further session.
    Descriptors,
    Count
};

std::string_view limitReasonName(LimitReason reason);

/// Metrics of the limits. The registry must outlive them.
class LimitMetrics
{
public:
    explicit LimitMetrics(MetricsRegistry &registry);

    void countClosed(LimitReason reason);
    void setCharges(const MemoryBudget &budget);

private:
    std::array<Counter *, static_cast<std::size_t>(LimitReason::Count)> m_closed {};
    std::array<Gauge *, kChargeKindCount> m_charged {};
    Gauge &m_waiting;
};

/// What the choice of a session to close knows of one.
struct SessionSummary
{
    /// Key of the caller; that of a connection that has not named one is the default.
    KeyHash key {};
    TimePoint lastActiveAt;
    /// No statement is lost with it.
    bool closable = false;
};

/// Index of the session to close so that another one can be opened: of the key that holds most, the
/// one that has been silent for longest. nullopt if none can be closed.
std::optional<std::size_t> sessionToClose(const std::vector<SessionSummary> &sessions);

} // namespace shallotlever
