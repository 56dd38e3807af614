#include "operations.h"

#include <array>

namespace shallotlever::soak {

namespace {

constexpr double kWriteShare = 0.2;
constexpr double kTransactionShare = 0.15;
constexpr double kReadOnlyTransactionShare = 0.05;
constexpr double kRollbackShare = 0.1;
/// Share of places for a change of the session's state that hold one.
constexpr double kChangeShare = 0.3;
/// Before an operation.
constexpr int kMaxChanges = 2;
constexpr std::array kChanges { StepKind::SetVariable, StepKind::Prepare, StepKind::Prepare,
                                StepKind::Prepare, StepKind::Deallocate };

bool chance(double probability, std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < probability;
}

void addChange(std::deque<StepKind> &steps, std::mt19937_64 &random)
{
    if (chance(kChangeShare, random))
        steps.push_back(kChanges[random() % kChanges.size()]);
}

void addTransaction(std::deque<StepKind> &steps, bool readOnly, std::mt19937_64 &random)
{
    steps.push_back(readOnly ? StepKind::BeginReadOnly : StepKind::Begin);
    addChange(steps, random);
    if (readOnly || chance(0.5, random))
        steps.push_back(StepKind::Read);
    addChange(steps, random);
    steps.push_back(readOnly ? StepKind::Read : StepKind::Write);
    steps.push_back(chance(kRollbackShare, random) ? StepKind::Rollback : StepKind::Commit);
}

} // namespace

OperationKind drawOperation(bool readsOnly, std::mt19937_64 &random)
{
    if (chance(kReadOnlyTransactionShare, random))
        return OperationKind::ReadOnlyTransaction;
    if (!readsOnly && chance(kWriteShare, random))
        return OperationKind::Write;
    if (!readsOnly && chance(kTransactionShare, random))
        return OperationKind::Transaction;
    return OperationKind::Read;
}

std::deque<StepKind> drawSteps(OperationKind kind, std::mt19937_64 &random)
{
    std::deque<StepKind> steps;
    for (int i = 0; i < kMaxChanges; ++i)
        addChange(steps, random);
    switch (kind) {
    case OperationKind::Read:
        steps.push_back(StepKind::Read);
        break;
    case OperationKind::Write:
        steps.push_back(StepKind::Write);
        break;
    case OperationKind::Transaction:
        addTransaction(steps, false, random);
        break;
    case OperationKind::ReadOnlyTransaction:
        addTransaction(steps, true, random);
        break;
    }
    return steps;
}

} // namespace shallotlever::soak
