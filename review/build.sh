#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript for Node.js and need no build; this checks that they and the program of the deploy file are there.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/stand-ins/*.js review/[0-9]/run.js; do
	node --check "$file"
done
test -f target/rosemaryquay.mjs || node scripts/bundle.js
