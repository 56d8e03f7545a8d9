#!/bin/bash
# Builds the stand-ins and the cases of the second review into target/review-2, after the build of
# deploy/service.toml. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
jar=target/sandford.jar
if [ ! -f "$jar" ]; then
  echo "build-2.sh: $jar is missing: run the build line of deploy/service.toml first" >&2
  exit 2
fi
rm -rf target/review-2
mkdir -p target/review-2
sources=(review/standins-2/*.java)
for source in review/[0-9]*/case/*.java; do
  if [ -f "$source" ]; then
    sources+=("$source")
  fi
done
javac -nowarn --release 17 -cp "$jar" -d target/review-2 "${sources[@]}"
echo "build-2.sh: built ${#sources[@]} files"
