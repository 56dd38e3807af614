#pragma once

#include <deque>
#include <string>
#include <vector>

#include "shallotlever/policy/statement_queue.h"
#include "simulation.h"

/// Statements of several classes and many teams in front of one database.
namespace shallotlever::experiment {

struct StatementClass
{
    std::string name;
    std::uint32_t priority = 0;
    /// Mean work of a read.
    Duration cost { 0 };
    Duration objective { 0 };
    Duration timeout { 0 };
    /// Share of the statements.
    double share = 1;
};

struct StatementLoad
{
    std::vector<StatementClass> classes;
    std::uint32_t slots = 5;
    std::size_t teams = 72;
    /// Demand as a multiple of what the slots can serve; multiplied by `burst` for six seconds.
    double load = 1;
    double burst = 1;
    /// Factor by which the first team exceeds its rate.
    double hotTeam = 1;
    /// Every second team sends statements that cost this multiple, and accordingly fewer.
    double heavyCost = 1;
    /// Connections, of which a statement needs one of its team; 0: no limit.
    std::uint32_t connections = 0;
    /// Time for which statements are sent.
    Duration length = 96s;
    std::uint64_t seed = 1;
};

struct StatementCounts
{
    double asked = 0;
    double inTime = 0;
    double late = 0;
    /// Refused within a quarter of the objective, and later.
    double refusedEarly = 0;
    double refusedLate = 0;

    double share() const { return asked == 0 ? 1 : inTime / asked; }
};

struct ClassFigures
{
    StatementCounts all;
    std::vector<StatementCounts> teams;
    /// By the two seconds in which the statements were sent.
    std::vector<StatementCounts> periods;

    /// Share in time of the worst-served team of some size, other than `except`, and its ratio to
    /// the share of the whole class.
    double worstTeam(std::size_t except) const;
    double worstPeriod() const;
};

/// Plays the load and returns the figures of each class.
std::vector<ClassFigures> playStatements(const StatementLoad &load,
                                         const StatementQueueOptions &options);

/// Index that excludes no team.
inline constexpr std::size_t kNoTeam = SIZE_MAX;

} // namespace shallotlever::experiment
