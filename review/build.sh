#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number="${source%%/*}"
  g++ -std=c++17 -O1 -pthread -o "bin/case-$number" "$source"
done
