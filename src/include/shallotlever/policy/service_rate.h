#pragma once

#include "shallotlever/base/time.h"

namespace shallotlever {

/// Rate at which the work of a waiting line is done: microseconds of work in each microsecond, over
/// the last half second or so.
struct ServiceRate
{
    double work = 0;
    double elapsed = 0;
    TimePoint updatedAt;
};

/// A line that starts now, which is assumed to get all `slots` until it is observed.
ServiceRate makeServiceRate(double slots, TimePoint now);
void recordWork(ServiceRate &rate, double work, TimePoint now);
double workRate(const ServiceRate &rate, TimePoint now);

} // namespace shallotlever
