#include "failure.h"

#include <gtest/gtest.h>

namespace shallotlever {
namespace {

struct FailureRow
{
    const char *name;
    QueryErrorKind kind;
    const char *sqlState;
    FailurePoint point;
    std::optional<RetryReason> reason;
    ErrorKind answer;
    bool outcomeUnknown;
};

class FailureTable : public testing::TestWithParam<FailureRow>
{
};

// A write that may have taken effect must not be retried or reported as not_run. A status query
// that could not be sent after the commit was once classified as a write that had not run.
TEST_P(FailureTable, IsClassified)
{
    const FailureRow &row = GetParam();
    const Failure failure = classifyFailure({ row.kind, row.sqlState, "message" }, row.point);
    EXPECT_EQ(failure.reason, row.reason);
    EXPECT_EQ(failure.error.kind, row.answer);
    EXPECT_EQ(failure.outcomeUnknown, row.outcomeUnknown);
    const bool notRun = errorRow(failure.error.kind).outcome == Outcome::NotRun;
    EXPECT_FALSE(notRun && failure.outcomeUnknown);
}

using enum QueryErrorKind;
using enum FailurePoint;
using R = RetryReason;
using E = ErrorKind;

INSTANTIATE_TEST_SUITE_P(
    Rows, FailureTable,
    testing::Values(
        FailureRow { "NotSentAtCommit", NotSent, "", Commit, R::UpstreamLostBeforeSend,
                     E::ConnectFailed, false },
        FailureRow { "NotSentAfterCommit", NotSent, "", AfterCommit, R::IdempotentRepeat,
                     E::OutcomeUnknown, true },
        FailureRow { "RefusedAfterCommit", Refused, "42601", AfterCommit, R::IdempotentRepeat,
                     E::OutcomeUnknown, true },
        FailureRow { "LostAtCommit", LostAfterSend, "", Commit, R::IdempotentRepeat,
                     E::OutcomeUnknown, true },
        FailureRow { "TimedOutAtCommit", Abandoned, "", Commit, R::IdempotentRepeat,
                     E::OutcomeUnknown, true },
        FailureRow { "ShutdownAtCommit", Refused, "57P01", Commit, R::IdempotentRepeat,
                     E::OutcomeUnknown, true },
        FailureRow { "LostBeforeCommit", LostAfterSend, "", BeforeCommit, R::UpstreamLostBeforeSend,
                     E::ConnectFailed, false },
        FailureRow { "FencedAtCommit", Refused, "57P04", Commit, R::Fenced, E::NoPrimary, false },
        FailureRow { "ReplicaAtCommit", Refused, "25006", Commit, R::NotPrimary, E::NoPrimary,
                     false },
        FailureRow { "WriteInRead", Refused, "25006", Read, std::nullopt, E::ReadOnlyViolation,
                     false },
        FailureRow { "SqlError", Refused, "42601", Commit, std::nullopt, E::SqlError, false },
        FailureRow { "ReadTimedOut", Abandoned, "", Read, R::ReadTimedOut, E::OutcomeUnknown,
                     false }),
    [](const auto &row) { return row.param.name; });

// After an attempt that may have run, a read must not be reported as not run, and an error that is
// certain must not be replaced.
TEST(FailureAfterUnansweredRead, IsNeverReportedAsNotRun)
{
    for (const ErrorRow &row : errorTable()) {
        const ErrorKind reportedKind =
            errorAfterUnansweredRead({ row.kind, "message", std::nullopt }).kind;
        const bool certain = row.kind == E::ReadOnlyViolation || row.outcome != Outcome::NotRun;
        EXPECT_EQ(reportedKind, certain ? row.kind : E::OutcomeUnknown) << row.name;
    }
}

} // namespace
} // namespace shallotlever
