#!/bin/sh
# Checks the stand-ins and the cases of the second review. They are plain programs for Node.js without dependencies, so there is nothing to compile.
cd "$(dirname "$0")" || exit 1
for file in stand-ins-2/*.js 6/case.js 7/case.js 8/case.js 9/case.js 10/case.js; do
	node --check "$file" || exit 1
done
