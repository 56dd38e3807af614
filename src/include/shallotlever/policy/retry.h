#pragma once

#include <cstdint>
#include <optional>

#include "shallotlever/base/errors.h"
#include "shallotlever/base/random.h"
#include "shallotlever/base/retry_reason.h"
#include "shallotlever/base/time.h"
#include "shallotlever/types/config.h"

namespace shallotlever {

/// Node-wide budget in tokens: each first attempt earns retryBudgetRatio, each retry costs one.
struct RetryBudget
{
    double tokens = 10;
    /// Cap, and value at start, so that a quiet node can still retry.
    double maxTokens = 10;
};
void earnRetryBudget(RetryBudget &budget, const PresetPolicy &policy);

struct RetryQuestion
{
    RetryReason reason = RetryReason::ConnectFailed;
    bool read = false;
    /// Carries an idempotency key, so a repeat returns the first result.
    bool idempotent = false;
    /// Part of a transaction that has already run statements: only the caller can repeat it.
    bool insideTransaction = false;
    /// Attempts made, the failed one included.
    std::uint32_t attempts = 1;
    TimePoint deadline;
    /// Expected time of an attempt; a retry that cannot finish in time is not made.
    Duration expectedServiceTime { 0 };
    /// Fault for tests: repeats requests that may have run.
    bool ignorePermission = false;
};

enum class RetryRefusal : std::uint8_t { NotRepeatable, TooManyAttempts, Deadline, Budget };

struct RetryDecision
{
    bool retry = false;
    /// Pause before the retry: exponential with full jitter.
    Duration delay { 0 };
    /// The retry should go to another upstream if there is one.
    bool avoidUpstream = true;
    /// Set if retry is false.
    std::optional<RetryRefusal> refusal;
};

/// Whether the request may be repeated, regardless of deadline and budget.
bool mayRepeat(const RetryQuestion &question);

/// Decides and, if the answer is yes, charges the budget.
RetryDecision decideRetry(const RetryQuestion &question, RetryBudget &budget,
                          const PresetPolicy &policy, TimePoint now, Random &random);

} // namespace shallotlever
