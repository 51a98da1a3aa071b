#!/bin/bash
# Builds the programs of the cases 4 to 8, with all their stand-ins, under target/review-2. Needs
# nothing but Go and the libraries that the project's own build has fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/[4-8]; do
	if [ -f "$folder/main.go" ]; then
		go build -tags review -o "target/review-2/case$(basename "$folder")" "./$folder"
	fi
done
