#!/usr/bin/env bash
# Exit code 0: the rule held, 1: it was broken, 2: the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -f review/rig/classes/LateGrace.class ] && [ -f target/gateway.jsa ] || { echo "not built" >&2; exit 2; }
exec java -Xmx512m -cp review/rig/classes LateGrace "$here/record.txt"
