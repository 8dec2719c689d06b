#!/bin/sh
# The stand-ins of cases 4 and later are plain JavaScript for Node.js and need no build step; this checks that they parse.
cd "$(dirname "$0")" || exit 1
for file in common-2/*.mjs [4-8]/*.mjs; do
	[ -e "$file" ] || continue
	node --check "$file" || exit 1
done
