#!/bin/sh
# run-case.sh NUMBER CLASS: runs the case in the folder NUMBER for at most 115 seconds.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
timeout -k 3 115 java -Xmx256m -cp "$here/out" "$2" "$(dirname "$here")" "$here/$1/record.txt"
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
