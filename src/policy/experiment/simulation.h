#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

#include "shallotlever/base/random.h"
#include "shallotlever/base/time.h"

/// Discrete-event loop and queueing model of databases for the policy experiments.
namespace shallotlever::experiment {

class EventLoop
{
public:
    TimePoint now() const { return m_now; }
    void at(TimePoint when, std::function<void()> action)
    {
        m_events.push({ std::max(when, m_now), m_sequence++, std::move(action) });
    }
    void after(Duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }

    /// Runs until `end`; later events stay queued.
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().when <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.when;
            event.action();
        }
        m_now = end;
    }

private:
    struct Event
    {
        TimePoint when;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    TimePoint m_now { 10s };
};

inline Duration fromSeconds(double seconds)
{
    return Duration(static_cast<std::int64_t>(std::min(seconds, 1e9) * 1e6));
}

inline double toSeconds(Duration d)
{
    return std::chrono::duration<double>(d).count();
}

inline Duration exponential(Random &random, double meanSeconds)
{
    return fromSeconds(-std::log1p(-uniformUnit(random)) * meanSeconds);
}

/// A database with `slots` servers, exponential service times and a first-in first-out queue.
class Database
{
public:
    Database(EventLoop &loop, Random &random, std::uint32_t slots, double serviceMean)
        : m_loop(loop)
        , m_random(random)
        , m_slots(slots)
        , m_serviceMean(serviceMean)
    {
    }

    void submit(std::function<void()> done)
    {
        m_waiting.push_back(std::move(done));
        start();
    }
    void setFrozen(bool frozen)
    {
        m_frozen = frozen;
        start();
    }
    bool frozen() const { return m_frozen; }

private:
    void start()
    {
        while (!m_frozen && m_running < m_slots && !m_waiting.empty()) {
            ++m_running;
            auto done = std::move(m_waiting.front());
            m_waiting.pop_front();
            m_loop.after(exponential(m_random, m_serviceMean), [this, done] { finish(done); });
        }
    }
    void finish(const std::function<void()> &done)
    {
        if (m_frozen) {
            m_loop.after(10ms, [this, done] { finish(done); });
            return;
        }
        --m_running;
        done();
        start();
    }

    EventLoop &m_loop;
    Random &m_random;
    std::uint32_t m_slots;
    double m_serviceMean;
    std::uint32_t m_running = 0;
    bool m_frozen = false;
    std::deque<std::function<void()>> m_waiting;
};

/// One of the deployments of section 1.1 of the design page.
struct Deployment
{
    std::string name;
    std::uint32_t slots;
    /// One-way latencies.
    Duration insideDataCentre;
    Duration betweenRegions;
    Duration toClient;
};

inline const std::vector<Deployment> kDeployments {
    { "farjelinjen", 5, 1500us, 20ms, 1ms },
    { "lyzkarnia", 2, 1ms, 10ms, 1ms },
};

inline constexpr std::size_t kDataCentres = 3;
inline constexpr std::size_t kNodes = 7;

inline Duration oneWay(const Deployment &d, std::size_t a, std::size_t b)
{
    return a % kDataCentres == b % kDataCentres ? d.insideDataCentre : d.betweenRegions;
}

} // namespace shallotlever::experiment
