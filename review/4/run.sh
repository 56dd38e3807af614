#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the same
# without the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x review/stand-ins/bin/key_moved ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/stand-ins/bin/key_moved "$folder"
