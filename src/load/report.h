#pragma once

#include <string>

#include <QJsonObject>

#include "runner.h"

namespace shallotlever::load {

/// The report of one run, as described in docs/measurements.md.
QJsonObject reportOf(const Runner &runner);

/// Scalable picture over time: answers by kind, refusals, latency and gaps.
std::string plotSvg(const QJsonObject &report);

/// Two reports side by side.
std::string compareText(const QJsonObject &a, const QJsonObject &b);
std::string compareSvg(const QJsonObject &a, const QJsonObject &b);

} // namespace shallotlever::load
