#include "shallotlever/policy/retry.h"

#include <algorithm>

namespace shallotlever {
namespace {

constexpr Duration kFirstBackoff = 5ms;
constexpr Duration kMaxBackoff = 500ms;
constexpr std::uint32_t kMaxExponent = 16;

Duration backoff(std::uint32_t attempts, Random &random)
{
    const std::uint32_t exponent = std::min(std::max(attempts, 1U) - 1, kMaxExponent);
    const Duration most = std::min(kFirstBackoff * (std::int64_t { 1 } << exponent), kMaxBackoff);
    return uniformDuration(random, Duration(0), most);
}

RetryDecision refused(RetryRefusal refusal)
{
    RetryDecision decision;
    decision.refusal = refusal;
    return decision;
}

} // namespace

void earnRetryBudget(RetryBudget &budget, const PresetPolicy &policy)
{
    budget.tokens = std::min(budget.maxTokens, budget.tokens + policy.retryBudgetRatio);
}

bool mayRepeat(const RetryQuestion &question)
{
    if (question.insideTransaction)
        return false;
    return question.ignorePermission || retryReasonRow(question.reason).notRun || question.read
        || question.idempotent;
}

RetryDecision decideRetry(const RetryQuestion &question, RetryBudget &budget,
                          const PresetPolicy &policy, TimePoint now, Random &random)
{
    if (!mayRepeat(question))
        return refused(RetryRefusal::NotRepeatable);
    if (question.attempts >= policy.maxAttempts)
        return refused(RetryRefusal::TooManyAttempts);
    const Duration spare = question.deadline - now - question.expectedServiceTime;
    if (spare <= Duration(0))
        return refused(RetryRefusal::Deadline);
    if (budget.tokens < 1)
        return refused(RetryRefusal::Budget);
    budget.tokens -= 1;
    RetryDecision decision;
    decision.retry = true;
    decision.delay = std::min(backoff(question.attempts, random), spare);
    decision.avoidUpstream = retryReasonRow(question.reason).avoidUpstream;
    return decision;
}

} // namespace shallotlever
