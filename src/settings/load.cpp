#include <cstdlib>
#include <ostream>

#include "shallotlever/settings/node_settings.h"

namespace shallotlever {

namespace {

constexpr int kExitInvalidSettings = 2;

std::optional<std::string> processEnvironment(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

} // namespace

std::variant<NodeSettings, int> loadNodeSettings(int argc, const char *const *argv,
                                                 std::ostream &out, std::ostream &err)
{
    const std::vector<std::string> arguments(argv + (argc > 0 ? 1 : 0), argv + argc);
    SettingsResult result = NodeSettings::create(arguments, processEnvironment);
    if (const auto *text = std::get_if<HelpOrVersionText>(&result)) {
        out << text->text;
        return EXIT_SUCCESS;
    }
    if (const auto *errors = std::get_if<std::vector<SettingsError>>(&result)) {
        for (const SettingsError &error : *errors)
            err << error.flag << ": " << error.message << '\n';
        return kExitInvalidSettings;
    }
    auto &settings = std::get<NodeSettings>(result);
    if (settings.checkOnly)
        return EXIT_SUCCESS;
    return std::move(settings);
}

} // namespace shallotlever
