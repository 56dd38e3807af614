#include "utf8.h"

namespace shallotlever {

std::size_t utf8SequenceLength(std::string_view text)
{
    const auto byte = [text](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    const unsigned char lead = byte(0);
    if (lead < 0x80U)
        return 1;
    const std::size_t length = lead >= 0xF0U ? 4 : lead >= 0xE0U ? 3 : 2;
    if (lead < 0xC2U || lead > 0xF4U || text.size() < length)
        return 0;
    for (std::size_t i = 1; i < length; ++i) {
        if ((byte(i) & 0xC0U) != 0x80U)
            return 0;
    }
    const bool overlong = (lead == 0xE0U && byte(1) < 0xA0U) || (lead == 0xF0U && byte(1) < 0x90U);
    const bool outOfRange =
        (lead == 0xEDU && byte(1) > 0x9FU) || (lead == 0xF4U && byte(1) > 0x8FU);
    return overlong || outOfRange ? 0 : length;
}

} // namespace shallotlever
