#pragma once

#include <array>
#include <deque>
#include <memory>
#include <vector>

#include "shallotlever/policy/replica_choice.h"
#include "shallotlever/policy/retry.h"
#include "shallotlever/policy/upstream_health.h"
#include "simulation.h"

namespace shallotlever::experiment {

struct ReadWorldOptions
{
    Deployment deployment;
    ReplicaPicker picker = kDefaultReplicaPicker;
    /// One per database; the first is the primary and in data centre 0, and so on.
    std::vector<double> serviceMeans { 0.004, 0.004, 0.004 };
    double readsPerSecond = 100;
    /// Puts all nodes and databases into one data centre.
    bool oneDataCentre = false;
    bool ejection = true;
    bool retries = true;
    /// Without it, retries are limited by the number of attempts only.
    bool retryBudget = true;
    Duration deadline = 2s;
    Duration attemptTimeout = 500ms;
    std::uint64_t seed = 1;
};

struct ReadResult
{
    TimePoint asked;
    Duration latency;
    bool answered = false;
    bool replica = false;
};

/// Entry nodes that send reads, stale ones allowed, to one group of databases through the real
/// replica choice, health and retry code.
class ReadWorld
{
public:
    explicit ReadWorld(ReadWorldOptions options);

    EventLoop &loop() { return m_loop; }
    Database &database(std::size_t index) { return *m_databases[index]; }
    /// While failing, every database breaks the connection of each request.
    void setFailing(bool failing) { m_failing = failing; }
    void run(Duration time);

    const std::vector<ReadResult> &results() const { return m_results; }
    std::uint64_t asked() const { return m_asked; }
    std::uint64_t sent() const { return m_sent; }

private:
    struct Node
    {
        std::size_t dataCentre = 0;
        std::vector<UpstreamObservation> observations;
        std::vector<UpstreamHealth> health;
        std::vector<Duration> roundTrip;
        PrimaryHistory history;
        RetryBudget budget;
    };
    struct Request
    {
        std::size_t node = 0;
        TimePoint asked;
        std::uint32_t attempts = 0;
        ReadRequirements need;
        bool finished = false;
    };
    using RequestPtr = std::shared_ptr<Request>;

    void arrive();
    void attempt(const RequestPtr &request);
    void send(const RequestPtr &request, std::size_t target, bool probe);
    void succeed(const RequestPtr &request, std::size_t target, TimePoint sentAt, bool alone);
    void fail(const RequestPtr &request, std::size_t target);
    void finish(const RequestPtr &request, bool answered, bool replica);
    void observe();
    void updateHealth(Node &node);

    ReadWorldOptions m_options;
    Random m_random;
    EventLoop m_loop;
    RegionMap m_regions;
    GroupView m_group;
    PresetPolicy m_policy;
    HealthOptions m_healthOptions;
    std::vector<std::unique_ptr<Database>> m_databases;
    std::vector<Node> m_nodes;
    std::vector<ReadResult> m_results;
    std::uint64_t m_position = 1;
    std::uint64_t m_asked = 0;
    std::uint64_t m_sent = 0;
    bool m_failing = false;
    bool m_stopped = false;
};

} // namespace shallotlever::experiment
