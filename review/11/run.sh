#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../../target/review-rig3 ] || [ ! -x ../../target/platform ]; then exit 2; fi
exec ../../target/review-rig3 poison-caller ../.. record.txt
