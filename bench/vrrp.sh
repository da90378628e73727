#!/usr/bin/env bash
# Runs the long measurements of VRRP mastership; their results are in docs/measures-vrrp.md.
#   bench/vrrp.sh flips 60 16 | takeover 40 | false 30 | split | routers
#   bench/vrrp.sh explore 'preempt:200,100:3,1,1,1,1' ...
set -eu
cd "$(dirname "$0")/.."
mvn -q -B test-compile
mvn -q -B dependency:build-classpath -Dmdep.outputFile=target/classpath -Dmdep.includeScope=test
path="target/classes:target/test-classes:$(cat target/classpath)"
case "${1:-}" in
    explore) shift; exec java -Xmx8g -cp "$path" cobaltseam.mastership.Exploration "$@" ;;
    *) exec java -cp "$path" cobaltseam.standin.FlipRun "$@" ;;
esac
