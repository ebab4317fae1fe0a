#!/bin/bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no watch is cut.
cd "$(dirname "$0")/../.." && exec timeout -k 5 115 node review/3/run.mjs
