#!/bin/sh
# Builds the stand-ins of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for it in runner case-6 case-7 case-8 case-9 case-10; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$it" \
    "review/standins-2/$it.cpp"
done
