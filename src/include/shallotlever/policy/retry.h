#pragma once

#include <cstdint>
#include <optional>

#include "shallotlever/base/errors.h"
#include "shallotlever/base/random.h"
#include "shallotlever/base/retry_reason.h"
#include "shallotlever/base/time.h"
#include "shallotlever/types/config.h"

namespace shallotlever {

/// Node-wide retry budget in tokens: each first attempt adds PresetPolicy::retryBudgetRatio, each
/// retry costs one token.
struct RetryBudget
{
    double tokens = 10;
    /// Upper limit and initial value, which lets a node with little traffic retry.
    double maxTokens = 10;
};
void creditRetryBudget(RetryBudget &budget, const PresetPolicy &policy);

struct RetryContext
{
    RetryReason reason = RetryReason::ConnectFailed;
    bool read = false;
    /// The request has an idempotency key, so a repetition returns the first result.
    bool idempotent = false;
    /// Part of a transaction that has already run statements: only the caller can repeat the
    /// transaction.
    bool insideTransaction = false;
    /// Number of attempts so far, including the failed one.
    std::uint32_t attempts = 1;
    TimePoint deadline;
    /// Expected duration of an attempt. A retry that cannot finish before the deadline is not made.
    Duration expectedServiceTime { 0 };
    /// Fault injection for tests: retries requests that may have run.
    bool ignoreRetrySafety = false;
};

enum class RetryRefusal : std::uint8_t { NotRepeatable, TooManyAttempts, Deadline, Budget };

struct RetryDecision
{
    bool retry = false;
    /// Delay before the retry: exponential backoff with full jitter.
    Duration delay { 0 };
    /// The retry should use another upstream if there is one.
    bool avoidUpstream = true;
    /// Set if retry is false.
    std::optional<RetryRefusal> refusal;
};

/// Whether the request is safe to repeat, regardless of deadline and budget.
bool isRetryable(const RetryContext &context);

/// Decides whether to retry; if so, takes one token from the budget.
RetryDecision decideRetry(const RetryContext &context, RetryBudget &budget,
                          const PresetPolicy &policy, TimePoint now, Random &random);

} // namespace shallotlever
