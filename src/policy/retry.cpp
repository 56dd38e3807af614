#include "shallotlever/policy/retry.h"

#include <algorithm>

namespace shallotlever {
namespace {

constexpr Duration kInitialBackoff = 5ms;
constexpr Duration kMaxBackoff = 500ms;
constexpr std::uint32_t kMaxExponent = 16;

Duration backoff(std::uint32_t attempts, Random &random)
{
    const std::uint32_t exponent = std::min(std::max(attempts, 1U) - 1, kMaxExponent);
    const Duration maxDelay =
        std::min(kInitialBackoff * (std::int64_t { 1 } << exponent), kMaxBackoff);
    return uniformDuration(random, Duration(0), maxDelay);
}

RetryDecision refused(RetryRefusal refusal)
{
    RetryDecision decision;
    decision.refusal = refusal;
    return decision;
}

} // namespace

void creditRetryBudget(RetryBudget &budget, const PresetPolicy &policy)
{
    budget.tokens = std::min(budget.maxTokens, budget.tokens + policy.retryBudgetRatio);
}

bool isRetryable(const RetryContext &context)
{
    if (context.insideTransaction)
        return false;
    return context.ignoreRetrySafety || retryReasonRow(context.reason).notRun || context.read
        || context.idempotent;
}

RetryDecision decideRetry(const RetryContext &context, RetryBudget &budget,
                          const PresetPolicy &policy, TimePoint now, Random &random)
{
    if (!isRetryable(context))
        return refused(RetryRefusal::NotRepeatable);
    if (context.attempts >= policy.maxAttempts)
        return refused(RetryRefusal::TooManyAttempts);
    const Duration remaining = context.deadline - now - context.expectedServiceTime;
    if (remaining <= Duration(0))
        return refused(RetryRefusal::Deadline);
    if (budget.tokens < 1)
        return refused(RetryRefusal::Budget);
    budget.tokens -= 1;
    RetryDecision decision;
    decision.retry = true;
    decision.delay = std::min(backoff(context.attempts, random), remaining);
    decision.avoidUpstream = retryReasonRow(context.reason).avoidUpstream;
    return decision;
}

} // namespace shallotlever
