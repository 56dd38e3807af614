#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "shallotlever/policy/even_choice.h"
#include "simulation.h"

namespace shallotlever::experiment {

/// Selects a database from the figures, which hold its line as of the last report.
using EvenRule = std::function<std::size_t(std::span<const LoadFigure> figures,
                                           LowDiscrepancySequence &chance, Random &random)>;

struct EvenLoadOptions
{
    EvenRule rule;
    std::size_t nodes = 60;
    Duration figureAge { 0 };
    std::vector<double> serviceMeans { 0.004, 0.004, 0.006, 0.008, 0.008, 0.012 };
    std::uint32_t slots = 4;
    /// Share of the capacity of all databases that statements ask for.
    double utilisation = 0.7;
    /// One line for all databases; the free slot of the fastest takes the next statement.
    bool singleLine = false;
    /// A database whose line is empty takes a statement from the longest line, this much later.
    Duration passOnDelay { 0 };
    Duration runTime = 8s;
    std::uint64_t seed = 1;
};

struct EvenLoadFigures
{
    /// Work sent to the fullest database in 100 ms, of the mean of all, each by its capacity.
    double peakToMean = 0;
    double peakToMeanP99 = 0;
    /// Share of time that a database has nothing to do while another has a line.
    double idleBesideLine = 0;
    /// Longest such time of one pair of databases.
    Duration longestIdleBesideLine { 0 };
    double waitP50 = 0;
    double waitP99 = 0;
    /// Time in line and in the database.
    double answerMean = 0;
    double answerP99 = 0;
};

/// Nodes that send statements to databases by figures that are figureAge old.
class EvenLoadWorld
{
public:
    explicit EvenLoadWorld(EvenLoadOptions options);
    EvenLoadFigures run();

private:
    struct Statement
    {
        std::size_t node = 0;
        TimePoint arrivedAt;
    };
    struct Report
    {
        std::uint32_t outstanding = 0;
        double mean = 0;
    };
    struct Server
    {
        std::uint32_t running = 0;
        std::deque<Statement> line;
        /// One for each millisecond of the last kMaxFigureAge, oldest first.
        std::deque<Report> reports;
        /// Since when it has been idle beside the line of each other database.
        std::vector<TimePoint> idleBeside;
        double sentWork = 0;
    };
    struct Link
    {
        double pending = 0;
        std::deque<TimePoint> sentAt;
    };

    void arrive();
    void tick();
    void endWindow();
    std::size_t choose(std::size_t node);
    void start(std::size_t server, const Statement &statement);
    void finish(std::size_t server, std::size_t node);
    void passOn(std::size_t server);

    EvenLoadOptions m_options;
    Random m_random;
    EventLoop m_loop;
    std::vector<Server> m_servers;
    std::vector<std::vector<Link>> m_links;
    std::vector<LowDiscrepancySequence> m_chances;
    std::deque<Statement> m_singleLine;
    double m_rate = 0;
    TimePoint m_warmUntil;
    std::uint64_t m_ticks = 0;
    std::uint64_t m_idleTicks = 0;
    EvenLoadFigures m_figures;
    std::vector<double> m_waits;
    std::vector<double> m_answers;
    std::vector<double> m_peaks;
};

} // namespace shallotlever::experiment
