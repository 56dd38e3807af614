#pragma once

#include <cstdint>
#include <deque>
#include <random>

#include "statement_texts.h"

namespace shallotlever::soak {

enum class OperationKind : std::uint8_t { Read, Write, Transaction, ReadOnlyTransaction };

OperationKind drawOperation(bool readsOnly, std::mt19937_64 &random);

/// The statements of an operation in order. Some follow changes of the session's state.
std::deque<StepKind> drawSteps(OperationKind kind, std::mt19937_64 &random);

} // namespace shallotlever::soak
