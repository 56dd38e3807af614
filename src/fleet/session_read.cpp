#include "shallotlever/fleet/session_read.h"

namespace shallotlever {

bool holdsHistory(const HistoryPoint &token, const UpstreamStatus &status)
{
    return status.point.term >= token.term && status.point.position >= token.position;
}

} // namespace shallotlever
