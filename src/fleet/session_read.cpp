#include "shallotlever/fleet/session_read.h"

#include "shallotlever/types/history.h"

namespace shallotlever {

bool holdsHistory(const HistoryPoint &token, const UpstreamStatus &status)
{
    return holdsHistory(status.point, token);
}

} // namespace shallotlever
