#!/usr/bin/env bash
# Plays the case once. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the
# disruption. It needs the build of the deploy file and review/build.sh.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/toucanport ] || [ ! -x review/target/standin ]; then
  echo "target/toucanport or review/target/standin is missing"
  exit 2
fi
exec review/target/standin resumed-body review/3/record.txt
