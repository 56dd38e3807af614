#include "primary_tenure.h"

#include <algorithm>
#include <utility>

#include "shallotlever/base/due.h"

namespace shallotlever {

namespace {

void release(PrimaryTenures &tenures)
{
    if (!tenures.current)
        return;
    tenures.former = std::exchange(tenures.current, std::nullopt);
    tenures.formerUntil = kNever;
}

} // namespace

std::optional<PrimaryTenure> tenureOf(const PrimaryTenures &tenures, const UpstreamId &upstream)
{
    const bool leads = tenures.current && tenures.current->upstream == upstream;
    return leads ? tenures.current : std::nullopt;
}

void applyPrimary(PrimaryTenures &tenures, const GroupView &group, bool leaseHeld, TimePoint now)
{
    std::optional<PrimaryTenure> published;
    if (group.primary)
        published = PrimaryTenure { *group.primary, group.term };
    if (published && published == tenures.current)
        return;
    release(tenures);
    tenures.current = published;
    if (published && published == tenures.former) {
        // The service was out of the configuration for a while; nothing has been promoted since.
        tenures.former.reset();
        return;
    }
    const bool awaited = leaseHeld && !group.primary && group.switchover;
    tenures.formerUntil = std::min(tenures.formerUntil, awaited ? now + kQuiescePeriod : now);
}

void removePrimary(PrimaryTenures &tenures)
{
    release(tenures);
}

bool mayAcknowledge(const PrimaryTenures &tenures, const PrimaryTenure &tenure, TimePoint now)
{
    return tenure == tenures.current || (tenure == tenures.former && now < tenures.formerUntil);
}

} // namespace shallotlever
