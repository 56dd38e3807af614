#include "even_load_world.h"

namespace shallotlever::experiment {

namespace {

constexpr Duration kTick = 1ms;
constexpr Duration kWindow = 100ms;
constexpr Duration kWarmUp = 3s;
/// Per tick; about as many reports as kMeanOutstandingWeight averages, one each 10 ms.
constexpr double kMeanWeightPerTick = 0.01;

double mean(const std::vector<double> &values)
{
    double sum = 0;
    for (const double value : values)
        sum += value;
    return sum / static_cast<double>(std::max<std::size_t>(1, values.size()));
}

double quantile(std::vector<double> &values, double q)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

} // namespace

EvenLoadWorld::EvenLoadWorld(EvenLoadOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_servers(m_options.serviceMeans.size())
    , m_links(m_options.nodes, std::vector<Link>(m_options.serviceMeans.size()))
{
    for (std::size_t i = 0; i < m_options.nodes; ++i)
        m_chances.emplace_back(uniformUnit(m_random));
    for (const double mean : m_options.serviceMeans)
        m_rate += m_options.slots / mean * m_options.utilisation;
    for (Server &server : m_servers)
        server.idleBeside.assign(m_servers.size(), TimePoint::max());
    m_warmUntil = m_loop.now() + kWarmUp;
}

EvenLoadFigures EvenLoadWorld::run()
{
    tick();
    m_loop.after(kWindow, [this] { endWindow(); });
    arrive();
    m_loop.runUntil(m_loop.now() + m_options.runTime);
    m_figures.peakToMean = mean(m_peaks);
    m_figures.answerMean = mean(m_answers);
    m_figures.answerP99 = quantile(m_answers, 0.99);
    m_figures.peakToMeanP99 = quantile(m_peaks, 0.99);
    m_figures.idleBesideLine = static_cast<double>(m_idleTicks) / static_cast<double>(m_ticks);
    m_figures.waitP50 = quantile(m_waits, 0.5);
    m_figures.waitP99 = quantile(m_waits, 0.99);
    return m_figures;
}

void EvenLoadWorld::arrive()
{
    m_loop.after(exponential(m_random, 1 / m_rate), [this] { arrive(); });
    const Statement statement { uniformBelow(m_random, m_options.nodes), m_loop.now() };
    std::size_t target = 0;
    if (m_options.singleLine) {
        // Databases are listed from the fastest.
        while (target < m_servers.size() && m_servers[target].running == m_options.slots)
            ++target;
        if (target == m_servers.size()) {
            m_singleLine.push_back(statement);
            return;
        }
    } else {
        target = choose(statement.node);
    }
    Link &link = m_links[statement.node][target];
    ++link.pending;
    link.sentAt.push_back(m_loop.now());
    m_servers[target].sentWork += m_options.serviceMeans[target];
    if (m_servers[target].running < m_options.slots)
        start(target, statement);
    else
        m_servers[target].line.push_back(statement);
}

std::size_t EvenLoadWorld::choose(std::size_t node)
{
    std::vector<LoadFigure> figures;
    const TimePoint seenAt = m_loop.now() - m_options.figureAge;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const Server &server = m_servers[i];
        Link &link = m_links[node][i];
        while (!link.sentAt.empty() && link.sentAt.front() <= seenAt)
            link.sentAt.pop_front();
        LoadFigure figure;
        figure.outstanding =
            static_cast<double>(server.running) + static_cast<double>(server.line.size());
        figure.meanOutstanding = server.reports.back().mean;
        const auto back = static_cast<std::size_t>(m_options.figureAge / kTick);
        if (back > 0) {
            const Report &report =
                server.reports[server.reports.size() - std::min(back, server.reports.size())];
            figure.outstanding = report.outstanding;
            figure.meanOutstanding = report.mean;
            figure.sentSince = static_cast<double>(link.sentAt.size());
        }
        figure.age = m_options.figureAge;
        figure.pending = link.pending;
        figure.parallel = m_options.slots;
        figure.serviceTime = fromSeconds(m_options.serviceMeans[i]);
        figure.reachTime = 1ms;
        figures.push_back(figure);
    }
    return m_options.rule(figures, m_chances[node], m_random);
}

void EvenLoadWorld::start(std::size_t server, const Statement &statement)
{
    ++m_servers[server].running;
    const Duration waited = m_loop.now() - statement.arrivedAt;
    const Duration service = exponential(m_random, m_options.serviceMeans[server]);
    if (statement.arrivedAt >= m_warmUntil) {
        m_waits.push_back(toSeconds(waited) * 1e3);
        m_answers.push_back(toSeconds(waited + service) * 1e3);
    }
    m_loop.after(service, [this, server, node = statement.node] { finish(server, node); });
}

void EvenLoadWorld::finish(std::size_t server, std::size_t node)
{
    std::deque<Statement> &line = m_options.singleLine ? m_singleLine : m_servers[server].line;
    --m_servers[server].running;
    m_links[node][server].pending = std::max(0.0, m_links[node][server].pending - 1);
    if (!line.empty()) {
        const Statement next = line.front();
        line.pop_front();
        start(server, next);
    } else if (m_options.passOnDelay > Duration(0)) {
        m_loop.after(m_options.passOnDelay, [this, server] { passOn(server); });
    }
}

void EvenLoadWorld::passOn(std::size_t server)
{
    const auto longest =
        std::max_element(m_servers.begin(), m_servers.end(), [](const Server &a, const Server &b) {
            return a.line.size() < b.line.size();
        });
    if (m_servers[server].running == m_options.slots || longest->line.empty())
        return;
    const Statement statement = longest->line.front();
    longest->line.pop_front();
    const auto from = static_cast<std::size_t>(longest - m_servers.begin());
    m_servers[from].sentWork -= m_options.serviceMeans[from];
    m_servers[server].sentWork += m_options.serviceMeans[server];
    start(server, statement);
}

void EvenLoadWorld::tick()
{
    m_loop.after(kTick, [this] { tick(); });
    bool idleBesideLine = false;
    for (Server &server : m_servers) {
        Report report;
        report.outstanding = server.running + static_cast<std::uint32_t>(server.line.size());
        const double mean = server.reports.empty() ? 0 : server.reports.back().mean;
        report.mean = mean + (report.outstanding - mean) * kMeanWeightPerTick;
        server.reports.push_back(report);
        if (server.reports.size() > static_cast<std::size_t>(kMaxFigureAge / kTick))
            server.reports.pop_front();
        for (std::size_t other = 0; other < m_servers.size(); ++other) {
            TimePoint &since = server.idleBeside[other];
            if (server.running > 0 || m_servers[other].line.empty()) {
                since = TimePoint::max();
                continue;
            }
            since = std::min(since, m_loop.now());
            idleBesideLine = true;
            if (m_loop.now() >= m_warmUntil)
                m_figures.longestIdleBesideLine =
                    std::max(m_figures.longestIdleBesideLine, m_loop.now() - since);
        }
    }
    if (m_loop.now() < m_warmUntil)
        return;
    ++m_ticks;
    m_idleTicks += idleBesideLine ? 1 : 0;
}

void EvenLoadWorld::endWindow()
{
    m_loop.after(kWindow, [this] { endWindow(); });
    double sum = 0;
    double peak = 0;
    for (Server &server : m_servers) {
        sum += server.sentWork;
        peak = std::max(peak, server.sentWork);
        server.sentWork = 0;
    }
    if (m_loop.now() >= m_warmUntil && sum > 0)
        m_peaks.push_back(peak * static_cast<double>(m_servers.size()) / sum);
}

} // namespace shallotlever::experiment
