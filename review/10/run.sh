#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp "review/rig2/classes:target/pimentovale-platform/lib/*" OddEntries "$(pwd)/review/10/record.txt"
