#!/usr/bin/env bash
# Compiles the stand-ins and the cases into review/target. Needs target/sandford.jar, the result of
# a fresh build, for its JSON classes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target
javac -nowarn -cp target/sandford.jar -d review/target review/standins/*.java review/[0-9]*/*.java
