#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/camphorturn-sidecar ] || [ ! -x target/review-2/case-4 ]; then
    echo "first: the build of deploy/system.toml and review/build-2.sh"
    exit 2
fi
exec target/review-2/case-4
