#!/bin/bash
# The stand-ins of the scripts are plain modules for Node.js without dependencies: nothing is built, they are checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
    node --check "$file"
done
