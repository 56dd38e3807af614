#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/stand-ins"
mkdir -p bin
for source in *.cpp; do
    g++ -std=c++20 -O1 -pthread -o "bin/${source%.cpp}" "$source"
done
