#!/bin/sh
# Builds the stand-ins of the cases. They need nothing but the modules of this project's go.mod.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/main.go; do
	number=$(basename "$(dirname "$case")")
	go build -tags review -o "target/review/case$number" "./review/$number"
done
