#!/bin/sh
# Builds the stand-ins of the cases. They are plain JavaScript for Node.js, so
# they are only checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
