#include "commit_point.h"

#include "shallotlever/upstream/control.h"

namespace shallotlever {

std::optional<HistoryPoint> parseCommitPoint(const QueryResult &result, Term term)
{
    if (result.rows.size() != 1 || result.rows[0].size() != 1 || !result.rows[0][0])
        return std::nullopt;
    const absl::StatusOr<UpstreamStatus> status = parseUpstreamStatus(*result.rows[0][0]);
    if (!status.ok() || status->role != UpstreamRole::Primary || status->point.term != term)
        return std::nullopt;
    return status->point;
}

} // namespace shallotlever
