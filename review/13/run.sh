#!/usr/bin/env bash
# Starts the case from the project's root; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec node review/13/run.mjs
