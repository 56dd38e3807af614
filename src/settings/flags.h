#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "shallotlever/settings/node_settings.h"

namespace shallotlever {

/// Values by flag name including dashes. An enabled switch has the value "true". Flags given
/// neither as an argument nor in the environment are absent.
struct FlagValues
{
    std::map<std::string, std::string> values;
    std::vector<SettingsError> errors;
};

/// Parses arguments and environment without validating the values.
std::variant<FlagValues, HelpOrVersionText> readFlags(const std::vector<std::string> &arguments,
                                                      const EnvironmentLookup &environment);

} // namespace shallotlever
