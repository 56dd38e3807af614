#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <stdexcept>
#include <utility>

namespace shallotlever::support {

/// Upper bound of every wait: long enough for a busy machine, so reaching it is a failure.
inline constexpr std::chrono::seconds kWaitLimit { 30 };

/// Creates the QCoreApplication that event loops need, once per process.
void ensureApplication();

/// Runs the event loop until `done` holds; false after kWaitLimit.
bool spinUntil(const std::function<bool()> &done);

/// Starts an asynchronous call and runs the event loop until its callback has been called.
template <typename T>
T await(const std::function<void(std::function<void(T)>)> &start)
{
    std::optional<T> answer;
    start([&answer](T value) { answer.emplace(std::move(value)); });
    if (!spinUntil([&answer] { return answer.has_value(); }))
        throw std::runtime_error("the callback was not called");
    return *std::move(answer);
}

} // namespace shallotlever::support
