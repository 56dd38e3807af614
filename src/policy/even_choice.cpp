#include "shallotlever/policy/even_choice.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace shallotlever {

namespace {

constexpr int kBisectionSteps = 40;
/// Fractional part of the golden ratio: its multiples modulo 1 stay farthest apart.
constexpr double kGoldenStep = 0.6180339887498949;
constexpr double kMinSeconds = 1e-6;

double seconds(Duration duration)
{
    return std::max(kMinSeconds, std::chrono::duration<double>(duration).count());
}

Duration cappedAge(const LoadFigure &figure)
{
    return std::clamp(figure.age, Duration(0), kMaxFigureAge);
}

/// A figure in seconds, with the load that is estimated now.
struct Server
{
    double parallel;
    double service;
    /// Time to an answer if there is no line, as far as it counts.
    double idle;
    double cost;
    double outstanding;
    /// Statements that it completes while figures age, if it is never idle.
    double completions;
};

/// Share of its time in which a database that executes `parallel` statements at once is used, if a
/// random stream waits as long as a line of `line` statements. An approximation for queues of
/// several servers (Sakasegawa); exact for one.
double utilisationAt(double line, double parallel)
{
    const double exponent = std::sqrt(2 * (std::max(1.0, parallel) + 1)) - 1;
    return std::pow(line / (1 + line), 1 / exponent);
}

/// Statements that the database takes until the next one would be answered after `level`. In
/// addition to the room that is known, a share of what it completes while the figures age: the one
/// at which a random stream waits that long on average.
double roomUpTo(const Server &server, double level)
{
    const double line = (level / server.cost - server.idle) * server.parallel / server.service;
    if (line < 0)
        return 0;
    const double known = server.parallel - server.outstanding + line;
    return std::max(0.0, known + server.completions * utilisationAt(line, server.parallel));
}

double totalRoom(std::span<const Server> servers, double level)
{
    double sum = 0;
    for (const Server &server : servers)
        sum += roomUpTo(server, level);
    return sum;
}

/// Lowest level at which there is room for `wanted` statements.
double fillingLevel(std::span<const Server> servers, double wanted)
{
    double high = 0;
    for (const Server &server : servers)
        high = std::max(high, server.cost * (server.idle + server.service));
    while (totalRoom(servers, high) < wanted)
        high *= 2;
    double low = 0;
    for (int i = 0; i < kBisectionSteps; ++i) {
        const double middle = (low + high) / 2;
        (totalRoom(servers, middle) < wanted ? low : high) = middle;
    }
    return high;
}

} // namespace

double estimatedOutstanding(const LoadFigure &figure)
{
    const double line = std::max(1.0, figure.outstanding / figure.parallel);
    const double age = std::chrono::duration<double>(cappedAge(figure)).count();
    const double trust = std::exp(-age / (line * seconds(figure.serviceTime)));
    const double others =
        figure.meanOutstanding + (figure.outstanding - figure.meanOutstanding) * trust;
    return std::max(others + figure.sentSince, figure.pending);
}

Duration estimatedWait(const LoadFigure &figure)
{
    const double ahead = std::max(0.0, estimatedOutstanding(figure) + 1 - figure.parallel);
    const double wait = static_cast<double>(figure.serviceTime.count()) * ahead / figure.parallel;
    return Duration(static_cast<std::int64_t>(wait));
}

Duration estimatedAnswerTime(const LoadFigure &figure)
{
    const Duration answer = figure.reachTime + figure.serviceTime + estimatedWait(figure);
    return Duration(static_cast<std::int64_t>(static_cast<double>(answer.count()) * figure.cost));
}

std::vector<double> evenShares(std::span<const LoadFigure> figures)
{
    if (figures.size() == 1)
        return { 1.0 };
    double capacity = 0;
    double weightedAge = 0;
    double arrivals = 0;
    for (const LoadFigure &figure : figures) {
        const double rate = figure.parallel / seconds(figure.serviceTime);
        capacity += rate;
        weightedAge += rate * std::chrono::duration<double>(cappedAge(figure)).count();
        // Little's law: statements that complete in a second, from those that are executed.
        arrivals += rate * std::min(1.0, figure.meanOutstanding / figure.parallel);
    }
    const double age = weightedAge / capacity;
    std::vector<Server> servers;
    servers.reserve(figures.size());
    for (const LoadFigure &figure : figures) {
        const double service = seconds(figure.serviceTime);
        // The whole service time counts for what the cost adds, so that a costly database is no
        // choice merely because it is near.
        const double idle =
            seconds(figure.reachTime) + service * (kServiceTimePart + figure.cost - 1);
        servers.push_back({ figure.parallel, service, idle, figure.cost,
                            estimatedOutstanding(figure), figure.parallel / service * age });
    }
    const double level = fillingLevel(servers, 1 + arrivals * age);
    std::vector<double> shares;
    shares.reserve(servers.size());
    for (const Server &server : servers)
        shares.push_back(roomUpTo(server, level));
    double sum = 0;
    for (const double share : shares)
        sum += share;
    for (double &share : shares)
        share /= sum;
    return shares;
}

std::size_t drawShare(std::span<const double> shares, double chance)
{
    std::size_t last = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (shares[i] <= 0)
            continue;
        last = i;
        chance -= shares[i];
        if (chance < 0)
            break;
    }
    return last;
}

LowDiscrepancySequence LowDiscrepancySequence::forStream(std::string_view name)
{
    const std::uint64_t hash = XXH3_64bits(name.data(), name.size());
    return LowDiscrepancySequence(static_cast<double>(hash >> 11U) * 0x1.0p-53);
}

double LowDiscrepancySequence::next()
{
    m_last += kGoldenStep;
    m_last -= std::floor(m_last);
    return m_last;
}

} // namespace shallotlever
