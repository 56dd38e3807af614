#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "shallotlever/settings/node_settings.h"

namespace shallotlever {

/// Values by flag name with dashes; a switch that is on has the value "true". Flags that were given
/// neither as an argument nor in the environment are absent.
struct FlagValues
{
    std::map<std::string, std::string> values;
    std::vector<SettingsFault> faults;
};

/// Reads arguments and environment without judging the values.
std::variant<FlagValues, SettingsText> readFlags(const std::vector<std::string> &arguments,
                                                 const EnvironmentLookup &environment);

} // namespace shallotlever
