#!/bin/sh
# Builds the stand-ins and the cases. Needs a JDK alone; the dispatcher is built by the deploy file.
set -eu
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -encoding UTF-8 -Xlint:all -d out stand/*.java $(ls [0-9]/*.java)
