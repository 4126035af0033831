#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -x review/bin/case-5 || ! -x target/bin/balsamdrift ]]; then
  echo "build the release and run review/build.sh first" >&2
  exit 2
fi
exec review/bin/case-5 review/5
