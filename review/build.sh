#!/bin/bash
# Builds the programs of the cases, each with its stand-ins. The deploy build comes before it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for dir in review/[0-9]*; do
  go build -o "review/bin/case${dir##*/}" "./$dir"
done
