#!/bin/bash
# Run in the project's root, after the build of the deploy file and review/build-2.sh. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." && exec node review/7/run.mjs
