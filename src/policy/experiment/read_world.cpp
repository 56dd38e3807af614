#include "read_world.h"

namespace shallotlever::experiment {
namespace {

constexpr double kAverageWeight = 0.1;
constexpr Duration kObservationPeriod = 100ms;
/// Replicas follow the primary at this distance; all reads accept it.
constexpr Duration kStatedAge = 5s;

std::string name(std::size_t index)
{
    return std::to_string(index);
}

void average(double &mean, double sample)
{
    mean = mean <= 0 ? sample : mean + kAverageWeight * (sample - mean);
}

} // namespace

ReadWorld::ReadWorld(ReadWorldOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    m_group.term = Term(1);
    m_group.primary = UpstreamId("0");
    for (std::size_t i = 0; i < m_options.serviceMeans.size(); ++i) {
        const std::uint32_t slots = m_options.deployment.slots;
        m_databases.push_back(
            std::make_unique<Database>(m_loop, m_random, slots, m_options.serviceMeans[i]));
        UpstreamInfo info;
        info.id = UpstreamId(name(i));
        info.dataCentre = DataCentreId(name(m_options.oneDataCentre ? 0 : i % kDataCentres));
        info.slots = slots;
        m_group.upstreams[info.id] = info;
    }
    m_nodes.resize(kNodes);
    for (std::size_t n = 0; n < kNodes; ++n) {
        Node &node = m_nodes[n];
        node.dataCentre = m_options.oneDataCentre ? 0 : n % kDataCentres;
        node.health.resize(m_databases.size());
        for (std::size_t i = 0; i < m_databases.size(); ++i) {
            const Duration way =
                oneWay(m_options.deployment, node.dataCentre, m_options.oneDataCentre ? 0 : i);
            UpstreamObservation observation;
            observation.id = UpstreamId(name(i));
            observation.slots = m_options.deployment.slots;
            observation.latency = 2 * way + fromSeconds(0.004);
            observation.serviceMean = 0.004;
            observation.serviceSecondMoment = 2 * 0.004 * 0.004;
            node.observations.push_back(observation);
            node.roundTrip.push_back(2 * way);
        }
    }
    observe();
    arrive();
}

void ReadWorld::run(Duration time)
{
    m_loop.runUntil(m_loop.now() + time);
}

void ReadWorld::observe()
{
    ++m_position;
    for (Node &node : m_nodes) {
        recordPrimaryObservation(node.history,
                                 { m_loop.now(), { Term(1), LogPosition(m_position) } });
        for (std::size_t i = 0; i < node.observations.size(); ++i) {
            if (!m_databases[i]->frozen())
                node.observations[i].point = HistoryPoint { Term(1), LogPosition(m_position) };
        }
        updateHealth(node);
    }
    m_loop.after(kObservationPeriod, [this] { observe(); });
}

void ReadWorld::updateHealth(Node &node)
{
    if (!m_options.ejection)
        return;
    const std::vector<double> weights = groupWeights(node.health, m_healthOptions, m_loop.now());
    for (std::size_t i = 0; i < weights.size(); ++i) {
        node.observations[i].healthy = weights[i] > 0;
        node.observations[i].weight = weights[i];
        if (!tryStartProbe(node.health[i], m_healthOptions, m_loop.now(), m_random))
            continue;
        auto probe = std::make_shared<Request>();
        probe->node = static_cast<std::size_t>(&node - m_nodes.data());
        send(probe, i, true);
    }
}

void ReadWorld::arrive()
{
    m_loop.after(exponential(m_random, 1 / m_options.readsPerSecond), [this] {
        auto request = std::make_shared<Request>();
        request->node = uniformBelow(m_random, kNodes);
        request->asked = m_loop.now();
        request->need.maxStaleness = kStatedAge;
        ++m_asked;
        creditRetryBudget(m_nodes[request->node].budget, m_policy);
        m_loop.after(m_options.deployment.toClient, [this, request] { attempt(request); });
        arrive();
    });
}

void ReadWorld::attempt(const RequestPtr &request)
{
    Node &node = m_nodes[request->node];
    updateHealth(node);
    const ReadContext situation { &m_group,          DataCentreId(name(node.dataCentre)),
                                  &m_regions,        &node.history,
                                  node.observations, m_options.readsPerSecond };
    ReadChoice choice =
        chooseUpstream(situation, request->need, m_loop.now(), m_random, m_options.picker);
    if (choice.upstream.empty() && !request->need.exclude.empty()) {
        request->need.exclude.clear();
        choice = chooseUpstream(situation, request->need, m_loop.now(), m_random, m_options.picker);
    }
    if (choice.upstream.empty()) {
        finish(request, false, false);
        return;
    }
    ++request->attempts;
    send(request, std::stoul(choice.upstream.value()), false);
}

void ReadWorld::send(const RequestPtr &request, std::size_t target, bool probe)
{
    Node &node = m_nodes[request->node];
    UpstreamObservation &seen = node.observations[target];
    const Duration way = node.roundTrip[target] / 2;
    const TimePoint sentAt = m_loop.now();
    const bool alone = seen.inFlight == 0;
    ++seen.inFlight;
    m_sent += probe ? 0 : 1;
    auto open = std::make_shared<bool>(true);
    const auto close = [this, request, target, open] {
        if (!*open)
            return false;
        *open = false;
        --m_nodes[request->node].observations[target].inFlight;
        return true;
    };
    const auto failed = [this, request, target, close] {
        if (close())
            fail(request, target);
    };
    m_loop.after(m_options.attemptTimeout, failed);
    m_loop.after(way, [=, this] {
        if (m_failing) {
            m_loop.after(way, failed);
            return;
        }
        m_databases[target]->submit([=, this] {
            m_loop.after(way, [=, this] {
                if (close())
                    succeed(request, target, sentAt, alone);
            });
        });
    });
}

void ReadWorld::succeed(const RequestPtr &request, std::size_t target, TimePoint sentAt, bool alone)
{
    Node &node = m_nodes[request->node];
    UpstreamObservation &seen = node.observations[target];
    const Duration took = m_loop.now() - sentAt;
    double latency = toSeconds(seen.latency);
    average(latency, toSeconds(took));
    seen.latency = fromSeconds(latency);
    // Without other requests of this node, the time in the database is close to pure service.
    if (alone) {
        const double service = toSeconds(took - node.roundTrip[target]);
        average(seen.serviceMean, service);
        average(seen.serviceSecondMoment, service * service);
    }
    recordSuccess(node.health[target], m_healthOptions, m_loop.now());
    finish(request, true, target != 0);
}

void ReadWorld::fail(const RequestPtr &request, std::size_t target)
{
    Node &node = m_nodes[request->node];
    recordFailure(node.health[target], m_healthOptions, m_loop.now(), m_random);
    if (request->attempts == 0)
        return;
    RetryContext question;
    question.reason = RetryReason::ReadConnectionLost;
    question.read = true;
    question.attempts = request->attempts;
    question.deadline = request->asked + m_options.deadline;
    question.expectedServiceTime = node.observations[target].latency;
    RetryBudget unlimited;
    RetryBudget &budget = m_options.retryBudget ? node.budget : unlimited;
    const RetryDecision decision = decideRetry(question, budget, m_policy, m_loop.now(), m_random);
    if (!m_options.retries || !decision.retry) {
        finish(request, false, false);
        return;
    }
    if (decision.avoidUpstream)
        request->need.exclude.push_back(node.observations[target].id);
    m_loop.after(decision.delay, [this, request] { attempt(request); });
}

void ReadWorld::finish(const RequestPtr &request, bool answered, bool replica)
{
    if (request->attempts == 0 && answered)
        return;
    const Duration latency = m_loop.now() + m_options.deployment.toClient - request->asked;
    m_results.push_back(
        { request->asked, latency, answered && latency <= m_options.deadline, replica });
}

} // namespace shallotlever::experiment
