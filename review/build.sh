#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p classes
javac -d classes ./*.java
