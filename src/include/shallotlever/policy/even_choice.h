#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "shallotlever/base/time.h"

/// Spreads statements evenly over databases from figures that are a little old and that many nodes
/// use at the same moment. Pure: the same figures and the same chance give the same database.
namespace shallotlever {

/// Figures older than this are used as if they were this old.
constexpr Duration kMaxFigureAge = 500ms;
/// Weight of a new report in the moving average of the outstanding statements.
constexpr double kMeanOutstandingWeight = 0.1;
/// Part of the service time that counts against a database. Enough that a faster one is preferred
/// among those with free slots; counted whole, slower ones would idle while faster ones have lines.
constexpr double kServiceTimePart = 0.03;

/// What a node knows of the load of one database.
struct LoadFigure
{
    /// Statements at the database or in line for it, as of the last report.
    double outstanding = 0;
    /// Recent mean of the reports, to which the load tends to return.
    double meanOutstanding = 0;
    Duration age { 0 };
    /// Statements of this node that the report doesn't include.
    double sentSince = 0;
    /// Statements of this node that have not been answered.
    double pending = 0;
    /// Statements that the database executes at the same time.
    double parallel = 1;
    Duration serviceTime { 1ms };
    /// Time to reach the database and to get the answer back, without the time in it.
    Duration reachTime { 0 };
    /// Factor on the time to an answer, at least 1, for a database that is kept free for others.
    double cost = 1;
};

/// Statements expected at the database now. The reported line is trusted less with its age,
/// measured in the time in which the database executes it; an old one counts as the recent mean.
double estimatedOutstanding(const LoadFigure &figure);

/// Time that one more statement waits at the database, as estimated.
Duration estimatedWait(const LoadFigure &figure);

/// Time to the answer of one more statement, as estimated, times the cost.
Duration estimatedAnswerTime(const LoadFigure &figure);

/// Share of the statements that each database should get; they add up to 1, and there is at least
/// one figure. While the figures age, other nodes send as many statements by the same figures as
/// databases complete in that time. These are spread so that the expected time of the last one is
/// the same at each database that gets any. So exact figures select the shortest line and way, and
/// the older they are, the closer the shares come to a split by speed. A farther or costlier
/// database gets none while the line at nearer ones is expected to take less time than the way to
/// it.
std::vector<double> evenShares(std::span<const LoadFigure> figures);

/// Index of the share that contains `chance`, from 0 to below 1.
std::size_t drawShare(std::span<const double> shares, double chance);

/// Additive recurrence with the golden ratio: numbers from 0 to below 1 that cover the range more
/// evenly than random ones. Each node and service starts elsewhere.
class LowDiscrepancySequence
{
public:
    explicit LowDiscrepancySequence(double start = 0)
        : m_last(start)
    {
    }
    /// Starts where a hash of the name says.
    static LowDiscrepancySequence forStream(std::string_view name);
    double next();

private:
    double m_last;
};

} // namespace shallotlever
