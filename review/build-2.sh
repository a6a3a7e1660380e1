#!/bin/sh
# Builds the stand-ins of the cases of the second review, after the build of the
# deploy file. Needs only packages that the deploy file lists.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/Case.cpp; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra "$source" -o "target/review-2/case-$name" \
    $(pkg-config --cflags --libs jsoncpp) -lpthread
done
