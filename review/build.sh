#!/bin/sh
# The stand-ins are plain JavaScript for Node.js and need no build step; this only checks that they parse.
cd "$(dirname "$0")" || exit 1
for file in common/*.mjs */case.mjs; do
	node --check "$file" || exit 1
done
