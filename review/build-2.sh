#!/bin/bash
# Builds the programs of the second review's cases into review/bin/. Each holds its stand-ins itself, by package review/stage.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/6 review/7 review/8 review/9 review/10; do
	if [ -d "$folder" ]; then
		go build -o "review/bin/${folder#review/}" "./$folder"
	fi
done
