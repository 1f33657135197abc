#!/usr/bin/env bash
# Builds what the scripts of this review start beside the programs of the deploy file. Their
# stand-ins are plain modules without dependencies, so that this only checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs ./*/run.mjs; do
  node --check "$file"
done
