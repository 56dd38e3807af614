#pragma once

#include <QJsonObject>

#include "shallotlever/operator/arguments.h"
#include "shallotlever/types/config.h"

/// One function per command that changes the configuration; see ChangeReader.
namespace shallotlever {

Change readServicePut(ArgumentReader &arguments, const QJsonObject &configuration);
Change readServiceRemove(ArgumentReader &arguments, const QJsonObject &configuration);
Change readTeamPut(ArgumentReader &arguments, const QJsonObject &configuration);
Change readTeamRemove(ArgumentReader &arguments, const QJsonObject &configuration);
Change readKeyWithdraw(ArgumentReader &arguments, const QJsonObject &configuration);
Change readRoutePut(ArgumentReader &arguments, const QJsonObject &configuration);
Change readRouteRemove(ArgumentReader &arguments, const QJsonObject &configuration);
/// Fields that are not given keep their value in `configuration`.
Change readPresetPut(ArgumentReader &arguments, const QJsonObject &configuration);
Change readPresetSet(ArgumentReader &arguments, const QJsonObject &configuration);
/// `--end` ends the evacuation.
Change readEvacuation(ArgumentReader &arguments, const QJsonObject &configuration);

/// A key of the role, team and service that the arguments name, without id and hash.
KeyConfig readNewKey(ArgumentReader &arguments);

} // namespace shallotlever
