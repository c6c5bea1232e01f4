#!/bin/sh
# Builds the stand-ins of cases 11 to 15. They are plain JavaScript modules, so they are only checked for their syntax.
cd "$(dirname "$0")/.." || exit 2
for file in review/stand-ins-3/*.js review/1[1-5]/run.js; do
	[ -e "$file" ] || continue
	node --check "$file" || exit 1
done
