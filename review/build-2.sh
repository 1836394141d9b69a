#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the second review's scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/rig2"
mkdir -p classes
javac -cp "../../target/pimentovale-platform/lib/*" -d classes ./*.java
