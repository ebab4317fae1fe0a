#!/bin/bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no process is killed.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 110 node review/2/run.mjs
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
