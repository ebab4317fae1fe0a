#!/usr/bin/env bash
# Builds what the scripts of review/11 and later start beside the build of the deploy file: the stand-ins are plain modules
# (review/lib3) that need no build, so that this only checks that they and the program can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/cumincrank.cjs || node scripts/build-target.mjs
for file in review/lib3/*.mjs review/1[1-5]/*.mjs; do
  node --check "$file"
done
