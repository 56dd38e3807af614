#pragma once

#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <sstream>
#include <vector>

#include <QCoreApplication>
#include <QTemporaryDir>

#include <gtest/gtest.h>

#include "shallotlever/edge/listener.h"
#include "shallotlever/operator/command_line.h"

namespace shallotlever {

/// The listener's threads need an application object.
inline void ensureApplication()
{
    static int argc = 1;
    static char name[] = "operator_test";
    static char *argv[] = { name, nullptr };
    if (QCoreApplication::instance() == nullptr)
        new QCoreApplication(argc, argv); // Lives as long as the process.
}

/// A node that keeps what it is asked and answers with `answer`.
class FakeNode
{
public:
    using AnswerFunction = std::function<EdgeResponse(const EdgeRequest &)>;

    explicit FakeNode(AnswerFunction answer)
        : m_answer(std::move(answer))
    {
        ensureApplication();
        auto created =
            EdgeListener::create(EdgeOptions { "127.0.0.1", 0, 1, {}, std::nullopt },
                                 EdgeCallbacks { [this](CallerContext caller, EdgeRequest request,
                                                        const EdgeResponder &respond) {
                                                    const std::lock_guard lock(m_mutex);
                                                    m_callers.push_back(std::move(caller));
                                                    m_requests.push_back(request);
                                                    respond(m_answer(request));
                                                },
                                                 [] { return true; } },
                                 m_metrics, m_logger);
        EXPECT_TRUE(created.ok()) << created.status();
        m_listener = *std::move(created);
    }

    std::string url() const { return "http://127.0.0.1:" + std::to_string(m_listener->port()); }
    std::vector<EdgeRequest> requests()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }
    std::vector<CallerContext> callers()
    {
        const std::lock_guard lock(m_mutex);
        return m_callers;
    }

private:
    AnswerFunction m_answer;
    std::mutex m_mutex;
    std::vector<CallerContext> m_callers;
    std::vector<EdgeRequest> m_requests;
    MetricsRegistry m_registry;
    NodeMetrics m_metrics { m_registry };
    Logger m_logger { NodeId("test") };
    std::unique_ptr<EdgeListener> m_listener;
};

struct RunResult
{
    int status = 0;
    std::string out;
    std::string err;
};

/// Runs the program with a key file and the nodes given.
class ProgramRunner
{
public:
    ProgramRunner() { std::ofstream(path("key")) << "an-operator-key\n"; }

    std::string path(const std::string &name) const
    {
        return m_directory.filePath(QString::fromStdString(name)).toStdString();
    }
    RunResult run(const std::string &nodes, const std::vector<std::string> &arguments) const
    {
        std::ostringstream out;
        std::ostringstream err;
        const EnvironmentReader environment =
            [&](const std::string &name) -> std::optional<std::string> {
            if (name == "SHALLOTLEVER_NODES" && !nodes.empty())
                return nodes;
            if (name == "SHALLOTLEVER_KEY_FILE")
                return path("key");
            return std::nullopt;
        };
        const int status = runCommandLine(operatorCommands(), arguments, environment, out, err);
        return { status, out.str(), err.str() };
    }

private:
    QTemporaryDir m_directory;
};

} // namespace shallotlever
